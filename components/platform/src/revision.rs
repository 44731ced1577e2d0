//! Positions in the history of the store.

use std::fmt;

use crate::Era;

/// Position in the history of the store: its era, then its counter, which each write raises.
///
/// The counter goes back when the store comes back from a copy, and the era rises. Both are in one
/// number, the era in the upper 16 bits, so that positions of all eras have one order (as the epoch and the
/// counter of ZooKeeper's zxid, Junqueira et al., "Zab", DSN 2011).
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Revision(pub u64);

impl Revision {
    /// Bits of the counter.
    const COUNTER_BITS: u32 = 48;

    /// The position with this counter in `era`; `None` if it is in an era already or too large.
    #[must_use]
    pub fn in_era(self, era: Era) -> Option<Self> {
        let is_bare = self.0 >> Self::COUNTER_BITS == 0;
        is_bare.then(|| Self(u64::from(era.0) << Self::COUNTER_BITS | self.0))
    }

    /// Era of the store.
    #[must_use]
    pub fn era(self) -> Era {
        Era((self.0 >> Self::COUNTER_BITS) as u16)
    }

    /// Counter of the store, as it names it in this era.
    #[must_use]
    pub fn counter(self) -> u64 {
        self.0 & ((1 << Self::COUNTER_BITS) - 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            Era(0) => self.counter().fmt(formatter),
            era => write!(formatter, "{era}:{}", self.counter()),
        }
    }
}
