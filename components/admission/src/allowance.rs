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

    /// Fraction of the retries of a window that may be admitted within a tenth of it. A retry at the start of
    /// an outage is admitted before the calls that retries of other services cause are there to be counted.
    const BURST_FRACTION: f64 = 0.3;
    /// Retries that may be admitted within a tenth of a window even if they are a larger fraction.
    const LEAST_BURST: f64 = 3.0;
    /// Tenths of a window in a window.
    const TENTHS: f64 = 10.0;

    /// Number of retries that an owner with this `uptime` may admit in a window with `sum`, whose last tenth
    /// has `latest`: its share of the bound on retries, less the calls of repeated runs that exceed their
    /// own reserve, or will if they go on as they do.
    #[must_use]
    pub fn limit(&self, sum: &Sum, latest: &Sum, uptime: time::Duration) -> f64 {
        let window = self.window.0.as_secs_f64().max(f64::MIN_POSITIVE);
        let fraction = (uptime.as_secs_f64() / window).min(1.0);
        let fraction = Self::INITIAL_FRACTION + (1.0 - Self::INITIAL_FRACTION) * fraction;
        let fraction = fraction / f64::from(sum.owners.max(1));
        let retries = self.ratio * sum.weighted_first() + self.slack * fraction;
        let reserve = self.called_ratio * sum.weighted_first() + self.called_slack * fraction;
        let called = sum.called_again().max(latest.called_again() * Self::TENTHS);
        retries.min(retries + reserve - called)
    }

    /// Number of the `limit` retries of a window that may be admitted within a tenth of it.
    #[must_use]
    pub fn burst(limit: f64) -> f64 {
        (limit * Self::BURST_FRACTION).max(limit.min(Self::LEAST_BURST))
    }
}
