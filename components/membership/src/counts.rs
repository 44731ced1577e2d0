//! Counters of the membership service.

use std::cell;
use std::rc;

use serde::Serialize;

units::record! { eq:
    /// Counters of the membership service since the start of the process.
    #[derive(Copy, Default, Serialize)]
    pub struct Counts {
        /// Probes that were sent.
        pub probes: u64,
        /// Probes that were not answered directly.
        pub unanswered: u64,
        /// Suspicions that this node raised.
        pub accusations: u64,
        /// Probes that neither the member nor any helper answered, so that nobody was accused.
        pub doubts: u64,
        /// Members that this node declared dead.
        pub deaths: u64,
        /// Members that stayed suspect because many were silent together.
        pub holds: u64,
        /// Pauses of this process that were noticed.
        pub pauses: u64,
        /// Times that this node refuted news of itself.
        pub refutations: u64,
        /// Pieces of news that were received and new.
        pub news: u64,
        /// Pieces of news that were received and known, old or of no use.
        pub known: u64,
        /// Pieces of news and requests that could not be read.
        pub malformed: u64,
        /// Comparisons with other nodes that were started.
        pub compares: u64,
        /// Records that a comparison brought.
        pub repaired: u64,
        /// Pages of the view that were served to joining nodes.
        pub pages: u64,
        /// Joining nodes that were told to come back.
        pub refused_joiners: u64,
        /// Leases of the backend server that ran out.
        pub lapsed_leases: u64,
        /// Views that were published.
        pub views: u64,
    }
}

/// Shared counters; clones count together.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counter {
    counts: rc::Rc<cell::Cell<Counts>>,
}

impl Counter {
    pub(crate) fn get(&self) -> Counts {
        self.counts.get()
    }

    pub(crate) fn add(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}
