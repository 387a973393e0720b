//! API keys.

use std::fmt;

use sha2::{Digest, Sha256};

/// An API key as its holder sends it. It is never printed, and never compared byte by byte: the directory looks for
/// its digest, so the time of a look-up tells nothing of the keys that exist.
#[derive(Clone, PartialEq, Eq)]
pub struct ApiKey(String);

impl ApiKey {
    /// A key of this text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Tells keys apart without telling the key: the first bytes of its digest.
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

/// SHA-256 of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct KeyDigest([u8; 32]);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}
