//! Identity of a request by its content.

use std::fmt;

use xxhash_rust::xxh3::Xxh3Default;

/// Digest of a request's method, host, path, caller and body. Request id, deadline and headers of a single attempt
/// aren't part of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentId(pub u64);

impl ContentId {
    /// Computes the digest of these parts; each is prefixed with its length.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Xxh3Default::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}

impl fmt::Display for ContentId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
