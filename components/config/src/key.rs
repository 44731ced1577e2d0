//! Keys by which callers are known to belong to a workspace.

use std::fmt;

use sha2::Digest as _;

/// Digest of a key (SHA-256); the key itself is not kept.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; Digest::BYTES]);

impl Digest {
    /// Length in bytes.
    pub const BYTES: usize = 32;

    /// The digest of `key`.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(sha2::Sha256::digest(key).into())
    }

    /// Reads a digest from its bytes; `None` if their number is wrong.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// The bytes of the digest.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Shows nothing of the digest, so that no log line or dump does.
impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Digest(..)")
    }
}
