//! Counters of the membership service.

use std::cell;
use std::rc;

use serde::Serialize;

units::record! { eq:
    /// Counters of the membership service since the start of the process.
    #[derive(Copy, Default, Serialize)]
    pub struct Counts {
        /// Probes sent.
        pub probes: u64,
        /// Probes without a direct answer.
        pub unanswered: u64,
        /// Suspicions raised by this node.
        pub accusations: u64,
        /// Probes that neither the member nor any helper answered, so that no suspicion was raised.
        pub doubts: u64,
        /// Members declared dead by this node.
        pub deaths: u64,
        /// Members kept suspect because many were unresponsive at the same time.
        pub holds: u64,
        /// Detected pauses of this process.
        pub pauses: u64,
        /// Updates about this node that it refuted.
        pub refutations: u64,
        /// Received updates that were new.
        pub news: u64,
        /// Received updates that were already known, outdated or ignored.
        pub known: u64,
        /// Updates and requests that could not be decoded.
        pub malformed: u64,
        /// Comparisons started with other nodes (anti-entropy).
        pub compares: u64,
        /// Records received through comparisons.
        pub repaired: u64,
        /// Pages of the view served to joining nodes.
        pub pages: u64,
        /// Page requests of joining nodes rejected with a retry delay.
        pub refused_joiners: u64,
        /// Expired leases of the backend server.
        pub lapsed_leases: u64,
        /// Published views.
        pub views: u64,
    }
}

/// Shared counters; clones update the same values.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counter {
    counts: rc::Rc<cell::Cell<Counts>>,
}

impl Counter {
    pub(crate) fn get(&self) -> Counts {
        self.counts.get()
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}
