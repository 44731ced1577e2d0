//! Whether a request is sent again.

use std::time;

use serde::{Deserialize, Serialize};
use upstream::Outcome;

units::record! {
    /// Bounds of retries.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct Retry {
        /// Most attempts of one request.
        pub attempts: u32,
        /// Whether an idempotent request is sent again after its backend server answered that it
        /// failed.
        pub failures: bool,
        /// Least time left for which a retry is worth while.
        pub least_time: units::Period,
    }
}

/// What is known when an attempt has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// What became of the attempt.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether its body can be sent again.
    pub replayable: bool,
    /// Whether a node above has already sent it more than once.
    pub retried_above: bool,
    /// Attempts made so far.
    pub attempts: u32,
    /// Of these, such as have reached a backend server.
    pub reached: u32,
    /// Most backend servers that it may reach; zero names no bound.
    pub reach: u32,
    /// Time left until the deadline.
    pub left: time::Duration,
    /// Usual latency of answers on the route; zero where it is not known.
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
    /// Attempts of the baseline: the first one and three blind retries.
    pub const BASELINE_ATTEMPTS: u32 = 4;

    /// Whether the request is sent again. Where a backend server may have had it before, the owner that
    /// gets it then decides whether the service bears one more repeat.
    #[must_use]
    pub fn allows(&self, decision: &Decision) -> bool {
        let harmless = match decision.outcome {
            Outcome::NotRun => true,
            Outcome::Unknown => decision.idempotent,
            Outcome::Ran => self.failures && decision.idempotent,
        };
        harmless
            && decision.replayable
            && !decision.retried_above
            && decision.attempts < self.attempts
            && (decision.reach == 0 || decision.reached < decision.reach)
            && decision.left >= self.least_time.0
            // Half of the usual time, as owners ask: a retry is given up only if it is nearly sure to fail.
            && decision.left >= decision.usual / 2
    }
}
