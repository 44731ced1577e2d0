//! Age of a node's state, and the decision when the node has to watch the store itself.

use std::time;

/// Position of a node in the order of the fleet; nodes with lower positions watch the store first.
///
/// `None` stands for every node behind those whose order is kept.
pub type Place = Option<usize>;

units::record! { eq:
    /// Intervals and timeouts of the relay.
    #[derive(Copy)]
    pub struct Intervals {
        /// Time between two heartbeats of a watcher.
        pub heartbeat: time::Duration,
        /// Age beyond which a state counts as stale.
        pub stale_after: time::Duration,
        /// Timeout of a request to another node.
        pub answer_timeout: time::Duration,
        /// Additional age after which the first node behind the watchers watches as well. The delay
        /// doubles for each further node, so that the whole fleet does not turn to the store during
        /// an outage of it.
        pub takeover_step: time::Duration,
    }
}

impl Intervals {
    /// Derives intervals with which a change reaches all nodes within `apply`: a lost watcher is
    /// detected after half of it, and the rest is left for pulling from other nodes and reading the store.
    #[must_use]
    pub fn new(apply: time::Duration) -> Self {
        Self {
            heartbeat: apply / 5,
            stale_after: apply / 2,
            answer_timeout: apply / 8,
            takeover_step: apply / 10,
        }
    }
}

/// Times of the latest reports from other nodes that the state of this node is complete.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    /// Latest time at which other nodes reported the state as complete.
    complete_at: time::Instant,
    /// Time of the latest message from any other node.
    last_message: time::Instant,
    /// Latest time at which a watcher with a lower position reported its state as complete.
    predecessor: Option<time::Instant>,
}

impl Freshness {
    /// Freshness of a node that has received no message since its start.
    #[must_use]
    pub fn new(started: time::Instant) -> Self {
        Self {
            complete_at: started,
            last_message: started,
            predecessor: None,
        }
    }

    /// Records a message of another node, whose state was complete at `complete_at`.
    pub fn record_message(&mut self, complete_at: Option<time::Instant>, now: time::Instant) {
        self.last_message = self.last_message.max(now);
        if let Some(complete_at) = complete_at {
            self.complete_at = self.complete_at.max(complete_at.min(now));
        }
    }

    /// Records a message of a watcher with a lower position, whose state was complete at `complete_at`.
    pub fn record_predecessor(&mut self, complete_at: time::Instant) {
        self.predecessor = self.predecessor.max(Some(complete_at));
    }

    /// Time since the state was last known to be complete.
    #[must_use]
    pub fn age(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.complete_at)
    }

    /// Whether the age exceeds `stale_after`.
    #[must_use]
    pub fn is_stale(&self, now: time::Instant, intervals: &Intervals) -> bool {
        self.age(now) > intervals.stale_after
    }

    /// Whether the node at `place` has to watch the store, in a fleet with `watchers` regular watchers.
    ///
    /// `watching` is whether the node watches already; a substitute continues until a watcher with a
    /// lower position reports again.
    #[must_use]
    pub fn should_watch(
        &self,
        place: Place,
        watchers: usize,
        watching: bool,
        now: time::Instant,
        intervals: &Intervals,
    ) -> bool {
        if place.is_some_and(|place| place < watchers) {
            return true;
        }
        if watching {
            let fresh =
                |at: time::Instant| now.saturating_duration_since(at) <= intervals.stale_after;
            return !self.predecessor.is_some_and(fresh);
        }
        if now.saturating_duration_since(self.last_message) > intervals.stale_after {
            return true;
        }
        let Some(place) = place else {
            return false;
        };
        let doublings = u32::try_from(place - watchers).unwrap_or(u32::MAX);
        let factor = 2_u32.saturating_pow(doublings);
        self.age(now) > intervals.stale_after + intervals.takeover_step.saturating_mul(factor)
    }
}
