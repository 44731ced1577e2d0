//! Parts into which the moves are divided.

use xxhash_rust::xxh3;

/// Part of the moves that one node runs under one lease.
///
/// A lease for each shard instead of each move keeps the number of renewals the same however many
/// moves run at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(transparent)]
pub struct Shard(u8);

impl Shard {
    /// Number of shards.
    pub const COUNT: u8 = 16;

    /// The shard of the move whose id is `text`.
    #[must_use]
    pub fn of(text: &str) -> Self {
        let hash = xxh3::xxh3_64(text.as_bytes()) % u64::from(Self::COUNT);
        // The rest of a division by a count that fits.
        #[allow(clippy::cast_possible_truncation)]
        let index = hash as u8;
        Self(index)
    }

    /// All shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..Self::COUNT).map(Self)
    }

    /// Place among all shards.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Name of the lease under which the shard is run.
    #[must_use]
    pub fn lease_name(self) -> String {
        format!("moves-{:02}", self.0)
    }
}
