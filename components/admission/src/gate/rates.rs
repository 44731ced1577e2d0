//! Rate limits of the backend server behind a gate, and the evacuation of its data centre.

use std::time;

use super::Gate;
use crate::{Advertised, Change, Reason, Refusal, Usage};

impl Gate {
    /// Applies the rate in an answer of the backend server with this `instance` to a request sent at `sent`.
    pub fn observe_rate(
        &self,
        instance: u64,
        advertised: Advertised,
        sent: time::Instant,
    ) -> Change {
        let mut state = self.shared.state.borrow_mut();
        if state.instance != Some(instance) {
            return Change::None;
        }
        let change = state
            .rate_limiter
            .observe(advertised, sent, time::Instant::now());
        drop(state);
        if matches!(change, Change::Set { .. } | Change::Lifted { .. }) {
            self.dispatch();
        }
        change
    }

    /// Start of the backend server that announced itself last.
    #[must_use]
    pub fn instance(&self) -> Option<u64> {
        self.shared.state.borrow().instance
    }

    /// Rate that this backend server advertises.
    #[must_use]
    pub fn rate(&self) -> Option<units::Rate> {
        self.shared.state.borrow().rate_limiter.rate()
    }

    /// Applies a rate that another node reports for the backend server with this `instance`, unless the
    /// backend server has answered here; returns whether the rate has changed.
    pub fn adopt_rate(&self, instance: u64, rate: units::Rate) -> bool {
        let mut state = self.shared.state.borrow_mut();
        state.instance == Some(instance) && state.rate_limiter.adopt(rate, time::Instant::now())
    }

    /// Sets the rate of a backend server that warms up, and the usual time of a warm-up.
    pub fn configure_warmup(&self, rate: units::Rate, period: time::Duration) {
        let mut state = self.shared.state.borrow_mut();
        let changed = state.warmup.configure(rate, period, time::Instant::now());
        drop(state);
        if changed {
            self.dispatch();
        }
    }

    /// Applies what an announcement of the start `instance` says of its warm-up.
    pub fn hear_warmup(&self, instance: u64, left: Option<time::Duration>) {
        let mut state = self.shared.state.borrow_mut();
        state.warmup.announce(instance, left, time::Instant::now());
    }

    /// Records that the backend server may have restarted, so that it may be cold.
    pub fn suspect_restart(&self) {
        let mut state = self.shared.state.borrow_mut();
        state.warmup.suspect_restart(time::Instant::now());
    }

    /// Whether the service of the backend server has a warm-up.
    #[must_use]
    pub fn warms_up(&self) -> bool {
        self.shared.state.borrow().warmup.is_configured()
    }

    /// Whether the backend server is limited because it warms up, or may do so.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        let state = self.shared.state.borrow();
        state.warmup.is_cold(time::Instant::now())
    }

    /// Begins or ends the evacuation of the data centre: no request is started in it, and queued ones are
    /// refused. After it, the backend server may be cold until it announces itself.
    pub fn set_evacuated(&self, evacuated: bool) {
        let mut state = self.shared.state.borrow_mut();
        if state.evacuated == evacuated {
            return;
        }
        state.evacuated = evacuated;
        let refused = if evacuated {
            state.drain_waiting()
        } else {
            state.warmup.await_announcement(time::Instant::now());
            Vec::new()
        };
        drop(state);
        let refusal = Refusal::new(Reason::Evacuated, Self::PHASE_RETRY_AFTER);
        for waiter in refused {
            let _ = waiter.sender.send(Err(refusal));
        }
    }

    /// Promises a turn to the next request of a sender and returns the time until then; `None` if no rate
    /// limit applies.
    #[must_use]
    pub fn reserve_turn(&self) -> Option<time::Duration> {
        let mut state = self.shared.state.borrow_mut();
        let ahead = state.waiting.len();
        state.reserve_turn(ahead, time::Instant::now())
    }

    /// Arrivals under the rate that the backend server advertises.
    #[must_use]
    pub fn usage(&self) -> Option<Usage> {
        self.shared
            .state
            .borrow_mut()
            .rate_limiter
            .usage(time::Instant::now())
    }
}
