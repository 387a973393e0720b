//! What makes two requests the same one.

use std::fmt;

use xxhash_rust::xxh3::Xxh3Default;

/// Digest of a request's path, caller and body. Its id, its deadline and the headers that concern one try are not part of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentId(pub u64);

impl ContentId {
    /// The digest of these parts, each told from the next by its length.
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
