//! An order in the store that asks for a move.

use std::time;

use compact_str::CompactString;

/// Where a move stands, as the store says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// Nobody has begun it.
    Ordered,
    /// It is under way.
    Running,
    /// The new version has all traffic.
    Done,
    /// The new version gets nothing.
    TakenBack,
}

impl Phase {
    /// Whether the move has ended.
    #[must_use]
    pub fn is_end(self) -> bool {
        matches!(self, Self::Done | Self::TakenBack)
    }
}

units::record! { eq:
    /// An order that asks for a move.
    pub struct Order {
        /// The service.
        pub service: CompactString,
        /// The version that gets the traffic.
        pub version: CompactString,
        /// Time that the move has from its order.
        pub period: time::Duration,
        /// Where it stands.
        pub phase: Phase,
        /// Revision at which the order's object was created.
        pub made: u64,
    }
}

impl Order {
    /// Whether `other` is this order at another moment.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.made == other.made && self.version == other.version
    }
}

/// Reads orders out of objects of the store, and writes their status.
pub trait Source: 'static {
    /// Prefix of the orders' keys.
    const PREFIX: &'static str;

    /// The order in an object's value; `None` for one of another writer.
    fn order(&self, value: &[u8]) -> Option<Order>;

    /// The status that says where a move stands.
    fn status(&self, order: &Order, phase: Phase) -> Vec<u8>;
}
