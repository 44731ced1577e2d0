//! Order in which nodes watch the store.

use std::fmt;

use serde::Serialize;
use xxhash_rust::xxh3;

/// Position of a node in the order in which nodes watch the store; lower positions come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct Place(u32);

impl Place {
    /// Lowest position of the nodes behind those whose order is kept.
    const UNRANKED: u32 = 1 << 16;

    /// Position of a node whose order is kept.
    #[must_use]
    pub fn ranked(position: usize) -> Self {
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        Self(position.min(Self::UNRANKED - 1))
    }

    /// Position of a node behind those whose order is kept, by the hash of its name.
    #[must_use]
    pub fn unranked(node: &units::Node) -> Self {
        let hash = xxh3::xxh3_64(node.as_str().as_bytes()) as u32;
        Self(hash | Self::UNRANKED)
    }

    /// Number from 0 to 1 that spreads the nodes whose order is not kept.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(u32::MAX)
    }

    /// Position as it is sent to other nodes.
    #[must_use]
    pub fn to_wire(self) -> u32 {
        self.0
    }

    /// Position that another node sent.
    #[must_use]
    pub fn from_wire(number: u32) -> Self {
        Self(number)
    }

    /// Whether the node is one of the `count` first.
    #[must_use]
    pub fn is_among(self, count: usize) -> bool {
        usize::try_from(self.0).is_ok_and(|position| position < count)
    }

    /// Number of nodes before this one; `None` if its order is not kept.
    #[must_use]
    pub fn position(self) -> Option<usize> {
        let position = usize::try_from(self.0).ok()?;
        (self.0 < Self::UNRANKED).then_some(position)
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 < Self::UNRANKED {
            true => write!(f, "{}", self.0),
            false => f.write_str("unranked"),
        }
    }
}
