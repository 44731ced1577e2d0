//! Intervals and timeouts of the relay.

use std::time;

units::record! { eq:
    /// Intervals and timeouts of the relay.
    #[derive(Copy)]
    pub struct Intervals {
        /// Time between two answers of the store to the watchers together, each of which is evidence that
        /// the fleet has missed no change.
        pub evidence: time::Duration,
        /// Longest time between two heartbeats of a watcher that has no evidence to report.
        pub heartbeat: time::Duration,
        /// Age beyond which a state counts as stale.
        pub stale_after: time::Duration,
        /// Time without an answer of another node after which the next one is asked as well.
        pub answer_timeout: time::Duration,
        /// Time without the answer to a pull after which it is overdue, and others go on beside it.
        pub pull_overdue: time::Duration,
        /// Time in which the answer to a pull is taken: it may be large, and wait behind the bodies of requests
        /// where a link is full.
        pub pull_timeout: time::Duration,
        /// Time after which twice as many nodes have asked the store themselves, once the state is stale.
        pub takeover_step: time::Duration,
        /// Time after its start in which a node looks for others that have kept what the store may have
        /// lost.
        pub kept_search: time::Duration,
        /// Time between two attempts of a node to read the store itself.
        pub retry: time::Duration,
    }
}

impl Intervals {
    /// Derives intervals with which a change reaches all nodes within `apply`, even if the store stops
    /// answering the watchers just before it.
    ///
    /// The silence of the store is noticed after half of `apply`. Each `takeover_step` doubles the number of nodes that ask
    /// the store, so that all have asked after a quarter of `apply` more, and the last quarter is left for reading.
    #[must_use]
    pub fn new(apply: time::Duration) -> Self {
        Self {
            evidence: apply / 4,
            heartbeat: apply / 4,
            stale_after: apply / 2,
            answer_timeout: apply / 8,
            pull_overdue: apply / 2,
            pull_timeout: apply * 2,
            takeover_step: apply / 20,
            kept_search: apply * 2,
            retry: apply,
        }
    }
}
