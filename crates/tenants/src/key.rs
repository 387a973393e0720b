//! API keys and their digests.

use std::fmt;

use sha2::{Digest, Sha256};

/// An API key as received. It is never printed. Look-ups use its digest, so that their timing reveals nothing about
/// existing keys.
#[derive(Clone, PartialEq, Eq)]
pub struct ApiKey(String);

impl ApiKey {
    /// Wraps the text of a key.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the first bytes of the digest: identifies the key without revealing it.
    pub fn fingerprint(&self) -> [u8; 8] {
        let KeyDigest([a, b, c, d, e, f, g, h, ..]) = self.digest();
        [a, b, c, d, e, f, g, h]
    }

    pub(crate) fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(self.0.as_bytes()).into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct KeyDigest([u8; 32]);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}
