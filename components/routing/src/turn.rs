//! Turn of this node at a rate-limited backend server.

use std::time;

/// Permission to send one request at a set time to a backend server that limits requests per second.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Turn {
    at: time::Instant,
    /// Wait that the owner reported last.
    wait: time::Duration,
    /// Whether the turn is estimated, as the previous one was used and the owner has not reported since.
    estimated: bool,
}

impl Turn {
    /// Returns the turn for a report that the next request may be sent after `wait`; an earlier time in
    /// `current` stays if the owner reported it and it has not passed.
    pub(crate) fn reported(
        current: Option<Self>,
        wait: time::Duration,
        now: time::Instant,
    ) -> Self {
        let earlier = current.filter(|turn| turn.at > now && !turn.estimated);
        let at = earlier.map_or(now + wait, |turn| turn.at.min(now + wait));
        let estimated = false;
        Self {
            at,
            wait,
            estimated,
        }
    }

    /// Returns the turn after one that is used now, estimated from the wait that was reported last.
    pub(crate) fn next(self, now: time::Instant) -> Self {
        Self {
            at: now + self.wait,
            estimated: true,
            ..self
        }
    }

    /// Returns the time until the turn.
    pub(crate) fn remaining(&self, now: time::Instant) -> time::Duration {
        self.at.saturating_duration_since(now)
    }
}
