//! Whether a request is sent again.

use std::time;

use serde::{Deserialize, Serialize};
use upstream::{Budget, Outcome};

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
        /// Retries that each first attempt earns.
        pub ratio: f64,
        /// Most retries that are saved up for one service.
        pub saved: f64,
        /// Sliding window in which repeats are counted.
        pub window: units::Period,
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
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            attempts: 3,
            failures: false,
            ratio: 0.06,
            saved: 300.0,
            window: units::Period::from_secs(10),
            least_time: units::Period::from_millis(2),
        }
    }
}

impl Retry {
    /// Attempts of the baseline: the first one and three blind retries.
    pub const BASELINE_ATTEMPTS: u32 = 4;

    /// Whether the request is sent again; takes the retry from `budget` where a backend server had
    /// the request before.
    #[must_use]
    pub fn allows(&self, decision: &Decision, budget: &mut Budget) -> bool {
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
            && (decision.reached == 0 || budget.spend())
    }
}
