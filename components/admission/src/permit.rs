//! Permission to run one request.

use std::time;

use crate::Gate;

/// Permission to run one request at the backend server, given back when dropped.
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

    /// Whether no other request runs beside it.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.alone
    }

    /// The backend server answered whole.
    pub fn finish(self, now: time::Instant) {
        let latency = now.saturating_duration_since(self.started);
        self.gate.answered(self.route, latency);
    }

    /// The backend server refused it.
    pub fn shed(self) {
        self.gate.shed();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.release(self.alone);
    }
}
