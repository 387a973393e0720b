//! Deterministic model: the response depends only on the request, so a checker can detect partial or misrouted ones.

use xxhash_rust::xxh3::xxh3_64;

const MIN_RESPONSE_TOKENS: u64 = 8;
const RESPONSE_TOKENS_SPREAD: u64 = 120;

const CHARACTERS_PER_TOKEN: usize = 4;

const VOCABULARY: [&str; 16] = [
    "desk", "room", "free", "floor", "north", "booked", "until", "noon", "lot", "tractor", "hours",
    "engine", "sound", "tyres", "worn", "offer",
];

/// Returns the number of tokens that a prompt is counted as.
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len() / CHARACTERS_PER_TOKEN + 1).unwrap_or(u32::MAX)
}

fn response_seed(model: &str, prompt: &str) -> u64 {
    xxh3_64(model.as_bytes()) ^ xxh3_64(prompt.as_bytes()).rotate_left(1)
}

/// Returns the length in tokens of the response without a token limit.
pub fn natural_length(model: &str, prompt: &str) -> u32 {
    let length = MIN_RESPONSE_TOKENS + response_seed(model, prompt) % RESPONSE_TOKENS_SPREAD;
    u32::try_from(length).unwrap_or(u32::MAX)
}

/// Returns the text of the response's token `sequence`, counted from 0.
pub fn token_text(model: &str, prompt: &str, sequence: u32) -> String {
    let seed =
        response_seed(model, prompt) ^ u64::from(sequence).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let hash = xxh3_64(&seed.to_le_bytes());
    let word = VOCABULARY[(hash % 16) as usize];
    format!("{word}{:02x} ", (hash >> 8) & 0xff)
}

/// Returns the complete response to a request limited to `maximum_tokens`.
pub fn expected_response(model: &str, prompt: &str, maximum_tokens: u32) -> String {
    let length = natural_length(model, prompt).min(maximum_tokens);
    (0..length)
        .map(|sequence| token_text(model, prompt, sequence))
        .collect()
}
