//! Shards into which the moves are divided.

use xxhash_rust::xxh3;

/// Subset of the moves that one node runs under one lease.
///
/// With one lease per shard rather than per move, the number of renewals does not depend on the
/// number of running moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(transparent)]
pub struct Shard(u8);

impl Shard {
    /// Number of shards.
    pub const COUNT: u8 = 16;

    /// Shard of the move whose id is `text`.
    #[must_use]
    pub fn of(text: &str) -> Self {
        let hash = xxh3::xxh3_64(text.as_bytes()) % u64::from(Self::COUNT);
        // The remainder is below `COUNT`, which fits.
        #[allow(clippy::cast_possible_truncation)]
        let index = hash as u8;
        Self(index)
    }

    /// All shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..Self::COUNT).map(Self)
    }

    /// Index of the shard.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Name of the lease of the shard.
    #[must_use]
    pub fn lease_name(self) -> String {
        format!("moves-{:02}", self.0)
    }
}
