//! Retry budget of a service.

use std::time;

use serde::{Deserialize, Serialize};

use crate::Sum;

units::record! {
    /// Retry budget of a service.
    ///
    /// As in Finagle's `RetryBudget`, the repeats during a long outage stay a fixed fraction of the
    /// requests, whatever their outcome. Each owner of a service enforces its share, from the first
    /// arrivals that it receives, so that the shares add up to the bound of the service however many
    /// nodes send requests.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct Allowance {
        /// Retries allowed for each first arrival.
        pub ratio: f64,
        /// Retries allowed in a window in addition to the ratio, for all owners of a service together.
        pub slack: f64,
        /// Further repeats for each first arrival, reserved for the calls that repeated runs make.
        ///
        /// These calls are never refused, and may arrive after the retries.
        pub called_ratio: f64,
        /// Further repeats in a window, reserved for these calls, for all owners of a service together.
        pub called_slack: f64,
        /// Sliding window over which repeats are counted.
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
    /// Fraction of the slack of an owner at its start; the previous process may have spent its share.
    const INITIAL_FRACTION: f64 = 0.5;

    /// Number of retries that an owner with this `uptime` may admit in a window with `sum`: its share of the
    /// bound on retries, less the calls of repeated runs that exceed their own reserve.
    #[must_use]
    pub fn limit(&self, sum: &Sum, uptime: time::Duration) -> f64 {
        let window = self.window.0.as_secs_f64().max(f64::MIN_POSITIVE);
        let fraction = (uptime.as_secs_f64() / window).min(1.0);
        let fraction = Self::INITIAL_FRACTION + (1.0 - Self::INITIAL_FRACTION) * fraction;
        let fraction = fraction / f64::from(sum.owners.max(1));
        let retries = self.ratio * sum.weighted_first() + self.slack * fraction;
        let calls = self.called_ratio * sum.weighted_first() + self.called_slack * fraction;
        retries.min(retries + calls - sum.called_again())
    }
}
