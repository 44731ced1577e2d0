//! How many repeats a service bears.

use std::time;

use serde::{Deserialize, Serialize};

use crate::Sum;

units::record! {
    /// How many repeats a service bears.
    ///
    /// In the manner of Finagle's `RetryBudget`, the repeats of a long outage stay a fixed part of the
    /// requests, whatever their outcome. Each owner of a service keeps to its part, by the first
    /// arrivals that it sees itself, so that the parts add up to the bound of the service however
    /// many nodes send.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct Allowance {
        /// Repeats that each first arrival allows.
        pub ratio: f64,
        /// Repeats in a window that are allowed beside these, for all owners of a service together.
        pub slack: f64,
        /// Further repeats for each first arrival that are kept for the calls of repeated runs.
        ///
        /// Nothing refuses these, and they may come after the resent requests.
        pub called_ratio: f64,
        /// Further repeats in a window that are kept for them, for all owners together.
        pub called_slack: f64,
        /// Sliding window in which repeats are counted.
        pub window: units::Period,
    }
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            ratio: 0.05,
            slack: 10.0,
            called_ratio: 0.0,
            called_slack: 0.0,
            window: units::Period::from_secs(10),
        }
    }
}

impl Allowance {
    /// Part of the slack that an owner has when it starts; the process before it may have used its own.
    const START_PART: f64 = 0.5;

    /// Resent requests that an owner may let through in a window with `sum`, having been `up` for a
    /// time: its part of their own bound, and what calls of repeated runs leave of the whole.
    #[must_use]
    pub fn limit(&self, sum: &Sum, up: time::Duration) -> f64 {
        let window = self.window.0.as_secs_f64().max(f64::MIN_POSITIVE);
        let part = (up.as_secs_f64() / window).min(1.0);
        let part = Self::START_PART + (1.0 - Self::START_PART) * part;
        let part = part / f64::from(sum.owners.max(1));
        let resent = self.ratio * sum.earned() + self.slack * part;
        let called = self.called_ratio * sum.earned() + self.called_slack * part;
        resent.min(resent + called - sum.called_again())
    }
}
