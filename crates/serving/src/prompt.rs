//! Parts of a prompt, and an estimate of the parts that a replica caches.

/// Part of a prompt. Requests whose prompts begin with the same parts share a replica's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Id, equal for equal parts.
    pub id: u64,
    /// Length of the part.
    pub tokens: u32,
}

/// Prompt of a request. The last part is specific to the request or its session.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt.
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    pub output_tokens: u32,
}

impl Prompt {
    /// Returns the parts that other requests may share.
    pub fn shared(&self) -> &[PromptPart] {
        let shared = self.parts.len().saturating_sub(1);
        &self.parts[..shared]
    }

    /// Returns the tokens of the prompt and the most to be generated, which share a replica's memory.
    pub fn total_tokens(&self) -> u64 {
        u64::from(self.tokens) + u64::from(self.output_tokens)
    }

    /// Returns the total length of the shared parts.
    pub fn shared_tokens(&self) -> u32 {
        sum_of_tokens(self.shared().iter())
    }
}

/// Returns the sum, or the maximum where callers state more than can be counted.
fn sum_of_tokens<'a>(parts: impl Iterator<Item = &'a PromptPart>) -> u32 {
    parts.fold(0, |sum: u32, part| sum.saturating_add(part.tokens))
}

/// Maximum number of parts tracked per replica.
const MAX_PARTS: usize = 4096;

/// Estimate of a replica's prefix cache: the parts that this daemon sent there, evicted least recently used first.
#[derive(Debug)]
pub struct PrefixCacheEstimate {
    parts: lru::LruCache<u64, u32>,
    capacity_tokens: u64,
    tokens: u64,
}

impl PrefixCacheEstimate {
    /// Creates an empty estimate of at most `capacity_tokens`.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            // `LruCache::new` would allocate the full capacity for each of thousands of replicas.
            parts: lru::LruCache::unbounded(),
            capacity_tokens,
            tokens: 0,
        }
    }

    /// Returns the length of the prompt's prefix that is probably cached.
    pub fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        let cached = prompt
            .parts
            .iter()
            .take_while(|part| self.parts.contains(&part.id));
        sum_of_tokens(cached)
    }

    /// Records that the prompt was sent to the replica. One that the cache can't hold evicts nothing: the replica refuses
    /// it, or doesn't keep it.
    pub fn note(&mut self, prompt: &Prompt) {
        let tokens: u64 = prompt.parts.iter().map(|part| u64::from(part.tokens)).sum();
        if tokens > self.capacity_tokens {
            return;
        }
        for part in &prompt.parts {
            if let Some((_, old)) = self.parts.push(part.id, part.tokens) {
                self.tokens = self.tokens.saturating_sub(u64::from(old));
            }
            self.tokens += u64::from(part.tokens);
        }
        while self.tokens > self.capacity_tokens || self.parts.len() > MAX_PARTS {
            let Some((_, evicted)) = self.parts.pop_lru() else {
                break;
            };
            self.tokens = self.tokens.saturating_sub(u64::from(evicted));
        }
    }
}
