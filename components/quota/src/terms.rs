//! The rule for quotas, and the capacity of a bucket that follows from it.

use std::time;

units::record! {
    /// The rule for quotas: in any window a workspace may use
    /// `(rate * window + burst) * (1 + over) + slack` over all nodes.
    #[derive(Copy)]
    pub struct Terms {
        /// Length of the window.
        pub window: time::Duration,
        /// Part of the quota that may be used beyond it.
        pub over: f64,
        /// Requests that may be sent beside that part.
        pub slack: f64,
    }
}

impl Terms {
    /// Part of the margin that goes into the capacity; the rest covers rounding and clock rates.
    const MARGIN_PART: f64 = 0.9;

    /// Requests of a workspace that the rule allows in a window.
    #[must_use]
    pub fn most(&self, rate: f64, burst: f64) -> f64 {
        self.quota(rate, burst) + self.margin(rate, burst)
    }

    /// Capacity of the bucket of a workspace: level and leased tokens together.
    #[must_use]
    pub fn capacity(&self, rate: f64, burst: f64) -> f64 {
        burst + Self::MARGIN_PART * self.margin(rate, burst)
    }

    fn quota(&self, rate: f64, burst: f64) -> f64 {
        rate * self.window.as_secs_f64() + burst
    }

    fn margin(&self, rate: f64, burst: f64) -> f64 {
        self.over * self.quota(rate, burst) + self.slack
    }
}
