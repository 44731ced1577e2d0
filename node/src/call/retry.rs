//! Conditions for retries.

use std::time;

use serde::{Deserialize, Serialize};
use upstream::Outcome;

units::record! {
    /// Limits of retries.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct Retry {
        /// Maximum number of attempts of one request.
        pub attempts: u32,
        /// Whether an idempotent request is sent again after its backend server responded with a
        /// server error.
        pub failures: bool,
        /// Shortest time left until the deadline for which a request is retried.
        pub least_time: units::Period,
    }
}

/// State of a request when an attempt has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the body can be sent again.
    pub replayable: bool,
    /// Whether a node earlier in the call chain has already sent the request more than once.
    pub retried_upstream: bool,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Number of attempts that reached a backend server.
    pub reached: u32,
    /// Maximum number of backend servers that the request may reach; zero for no limit.
    pub max_reached: u32,
    /// Time left until the deadline.
    pub time_left: time::Duration,
    /// Usual latency of responses on the route; zero if unknown.
    pub usual: time::Duration,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            attempts: 3,
            failures: false,
            least_time: units::Period::from_millis(2),
        }
    }
}

impl Retry {
    /// Number of attempts in the baseline mode: the first one and three unconditional retries.
    pub const BASELINE_ATTEMPTS: u32 = 4;

    /// Returns whether the request is sent again. If a backend server may have received it before,
    /// the receiving owner decides whether the retry budget of the service allows the repeated
    /// request.
    #[must_use]
    pub fn allows(&self, decision: &Decision) -> bool {
        let is_safe = match decision.outcome {
            Outcome::NotRun => true,
            Outcome::Unknown => decision.idempotent,
            Outcome::Ran => self.failures && decision.idempotent,
        };
        is_safe
            && decision.replayable
            && !decision.retried_upstream
            && decision.attempts < self.attempts
            && (decision.max_reached == 0 || decision.reached < decision.max_reached)
            && decision.time_left >= self.least_time.0
            // Half of the usual time, as owners require: a retry is skipped only if it is nearly
            // certain to fail.
            && decision.time_left >= decision.usual / 2
    }
}
