//! Orders in the store that request a move.

use std::time;

use compact_str::CompactString;

/// State of a move in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// No node has started the move.
    Ordered,
    /// The move is in progress.
    Running,
    /// The new version gets all traffic.
    Done,
    /// The new version gets no traffic.
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
    /// Request for a move.
    pub struct Order {
        /// The service.
        pub service: CompactString,
        /// The new version.
        pub version: CompactString,
        /// Time that the move may take from its order.
        pub period: time::Duration,
        /// State of the move.
        pub phase: Phase,
        /// Revision at which the order's object was created.
        pub made: u64,
    }
}

impl Order {
    /// Whether `other` is the same order, possibly in another phase.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.made == other.made && self.version == other.version
    }
}

/// Decodes orders from objects of the store, and encodes their status.
pub trait Source: 'static {
    /// Prefix of the orders' keys.
    const PREFIX: &'static str;

    /// The order in an object's value; `None` if the object is not an order of this source.
    fn order(&self, value: &[u8]) -> Option<Order>;

    /// The status of an order whose move is in `phase`.
    fn status(&self, order: &Order, phase: Phase) -> Vec<u8>;
}
