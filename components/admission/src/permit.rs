//! Permit to run one request.

use std::time;

use crate::Gate;

/// Permit to run one request at the backend server, released when dropped.
#[must_use]
pub struct Permit {
    gate: Gate,
    /// Hash of the route's name.
    route: u64,
    alone: bool,
    started: time::Instant,
}

impl Permit {
    pub(crate) fn new(gate: Gate, route: u64, alone: bool, started: time::Instant) -> Self {
        Self {
            gate,
            route,
            alone,
            started,
        }
    }

    /// Whether no other request runs at the same time.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.alone
    }

    /// Records the complete answer of the backend server.
    pub fn finish(self, now: time::Instant) {
        let latency = now.saturating_duration_since(self.started);
        self.gate.record_answer(self.route, latency);
    }

    /// Records that the backend server refused the request.
    pub fn shed(self) {
        self.gate.record_shed();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.release(self.route, self.alone, self.started);
    }
}
