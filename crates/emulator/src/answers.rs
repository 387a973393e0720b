//! The stand-in model: an answer is a function of the request alone, so that a checker can tell a whole
//! answer from a partial one or another caller's.

use xxhash_rust::xxh3::xxh3_64;

/// Shortest and widest natural answers, in tokens.
const SHORTEST_ANSWER: u64 = 8;
const ANSWER_SPREAD: u64 = 120;

/// Characters that one token of a prompt covers.
const CHARACTERS_A_TOKEN: usize = 4;

const WORDS: [&str; 16] = [
    "desk", "room", "free", "floor", "north", "booked", "until", "noon", "lot", "tractor", "hours",
    "engine", "sound", "tyres", "worn", "offer",
];

/// Tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len() / CHARACTERS_A_TOKEN + 1).unwrap_or(u32::MAX)
}

fn answer_seed(model: &str, prompt: &str) -> u64 {
    xxh3_64(model.as_bytes()) ^ xxh3_64(prompt.as_bytes()).rotate_left(1)
}

/// Tokens the model would generate without a limit.
pub fn natural_length(model: &str, prompt: &str) -> u32 {
    let length = SHORTEST_ANSWER + answer_seed(model, prompt) % ANSWER_SPREAD;
    u32::try_from(length).unwrap_or(u32::MAX)
}

/// Text of token number `sequence` of the answer.
pub fn token_text(model: &str, prompt: &str, sequence: u32) -> String {
    let seed = answer_seed(model, prompt) ^ u64::from(sequence).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let hash = xxh3_64(&seed.to_le_bytes());
    let word = WORDS[(hash % 16) as usize];
    format!("{word}{:02x} ", (hash >> 8) & 0xff)
}

/// The whole answer to a request limited to `maximum_tokens`.
pub fn expected_response(model: &str, prompt: &str, maximum_tokens: u32) -> String {
    let length = natural_length(model, prompt).min(maximum_tokens);
    (0..length)
        .map(|sequence| token_text(model, prompt, sequence))
        .collect()
}
