//! A prompt's parts, and an estimate of which replicas keep them in memory.

/// One part of a prompt. Requests that begin with the same parts share a replica's memory of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// A request's prompt: parts in order. The last one belongs to the request itself or to its session.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts.
    pub parts: Vec<PromptPart>,
    /// Prompt tokens.
    pub tokens: u32,
    /// Most tokens to generate.
    pub output_tokens: u32,
}

impl Prompt {
    /// The parts that other requests may share.
    pub fn shared(&self) -> &[PromptPart] {
        let shared = self.parts.len().saturating_sub(1);
        &self.parts[..shared]
    }

    /// Tokens of the shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }
}

/// Most parts remembered for one replica.
const REMEMBERED_PARTS: usize = 4096;

/// What a replica probably keeps: the parts this daemon sent there, least recently used first out.
#[derive(Debug)]
pub struct PrefixCacheEstimate {
    parts: lru::LruCache<u64, u32>,
    capacity_tokens: u64,
    tokens: u64,
}

impl PrefixCacheEstimate {
    /// A memory that holds at most `capacity_tokens`.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            // Not `new`, which takes the room for all parts at once, for each of thousands of replicas.
            parts: lru::LruCache::unbounded(),
            capacity_tokens,
            tokens: 0,
        }
    }

    /// Tokens at the beginning of the prompt that are kept.
    pub fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        prompt
            .parts
            .iter()
            .take_while(|part| self.parts.contains(&part.id))
            .map(|part| part.tokens)
            .sum()
    }

    /// The prompt was sent to the replica.
    pub fn note(&mut self, prompt: &Prompt) {
        for part in &prompt.parts {
            if let Some((_, old)) = self.parts.push(part.id, part.tokens) {
                self.tokens = self.tokens.saturating_sub(u64::from(old));
            }
            self.tokens += u64::from(part.tokens);
        }
        while self.tokens > self.capacity_tokens || self.parts.len() > REMEMBERED_PARTS {
            let Some((_, dropped)) = self.parts.pop_lru() else {
                break;
            };
            self.tokens = self.tokens.saturating_sub(u64::from(dropped));
        }
    }
}
