//! When the next request of this node is welcome at a limited backend server.

use std::time;

/// When this node's next request is welcome at a backend server that takes only so many a second.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Turn {
    at: time::Instant,
    /// Time that the owner told last.
    wait: time::Duration,
    /// The owner has not told it yet: the turn before has just been used.
    guessed: bool,
}

impl Turn {
    /// The owner tells that the next request is welcome after `wait`; where it has told an earlier time
    /// that is `held` and still to come, that stays.
    pub(crate) fn told(held: Option<Self>, wait: time::Duration, now: time::Instant) -> Self {
        let earlier = held.filter(|turn| turn.at > now && !turn.guessed);
        let at = earlier.map_or(now + wait, |turn| turn.at.min(now + wait));
        let guessed = false;
        Self { at, wait, guessed }
    }

    /// The turn after one that is used now, which is expected to come as late as the last.
    pub(crate) fn next(self, now: time::Instant) -> Self {
        Self {
            at: now + self.wait,
            guessed: true,
            ..self
        }
    }

    /// Time until it comes.
    pub(crate) fn left(&self, now: time::Instant) -> time::Duration {
        self.at.saturating_duration_since(now)
    }
}
