//! A node as a candidate for watching the store.

use std::time;

use crate::{Intervals, Place};

units::record! { eq:
    /// A node as a candidate for watching the store.
    #[derive(Copy)]
    pub struct Candidate {
        /// Position of the node.
        pub place: Place,
        /// Number of nodes that stand in for the watchers before it; `None` for a regular watcher.
        pub behind: Option<usize>,
        /// Additional delay, which spreads the nodes whose order is not kept.
        pub spread: time::Duration,
        /// Whether it watches the store already.
        pub watching: bool,
    }
}

impl Candidate {
    /// Delay after which it asks the store itself, from when the state is stale.
    ///
    /// The number of nodes that ask doubles with each step: few if the store answers most nodes, and all
    /// of them soon if it answers almost none.
    #[must_use]
    pub fn delay(&self, intervals: &Intervals) -> time::Duration {
        let Some(behind) = self.behind else {
            return time::Duration::ZERO;
        };
        let step = behind.saturating_add(1).ilog2();
        intervals.takeover_step * step + self.spread
    }
}
