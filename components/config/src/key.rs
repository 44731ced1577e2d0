//! Keys by which callers are known to belong to a workspace.

use std::fmt;
use std::str;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

/// Digest of a key (SHA-256); the key itself is not kept.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; Digest::BYTES]);

/// A key that is not usable; says nothing of the key itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a usable key; expected its text, or `sha256:` and 64 hexadecimal digits")]
pub struct Unusable;

impl Digest {
    /// Length in bytes.
    pub const BYTES: usize = 32;
    /// Prefix of the text form of a digest.
    const PREFIX: &str = "sha256:";

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

    /// The digest as operators read and write it.
    #[must_use]
    pub fn to_text(&self) -> String {
        let digits = self.0.iter().map(|byte| format!("{byte:02x}"));
        format!("{}{}", Self::PREFIX, digits.collect::<String>())
    }

    fn from_hex(digits: &str) -> Option<Self> {
        let mut bytes = [0; Self::BYTES];
        if digits.len() != 2 * Self::BYTES || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(digits.get(2 * index..2 * index + 2)?, 16).ok()?;
        }
        Some(Self(bytes))
    }
}

/// Shows nothing of the digest, so that no log line or dump does.
impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Digest(..)")
    }
}

/// Reads a digest, `sha256:` and its digits, or the text of a key, whose digest is kept.
impl str::FromStr for Digest {
    type Err = Unusable;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if let Some(digits) = text.strip_prefix(Self::PREFIX) {
            return Self::from_hex(digits).ok_or(Unusable);
        }
        let is_usable = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
        is_usable.then(|| Self::of(text.as_bytes())).ok_or(Unusable)
    }
}

impl Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.to_text())
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = CompactString::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
