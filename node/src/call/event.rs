//! Log lines for decisions about requests.

use std::time;

use compact_str::CompactString;

use super::Problem;

/// A decision about a request, logged as one line with a stable name under `event`.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Event<'e> {
    /// The ingress sends a request again.
    Retried {
        /// Node that received the failed attempt.
        node: &'e units::Node,
        /// How the attempt ended.
        problem: Option<&'e Problem>,
    },
    /// The ingress answers a request itself.
    Ended(&'e Problem),
    /// The owner answers a request itself.
    Refused(&'e Problem),
}

/// State of a request at the time of a decision.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Inputs<'e> {
    /// Request id.
    pub(crate) request: &'e str,
    /// Service that runs the request; empty if none was found.
    pub(crate) service: &'e CompactString,
    /// Version of the configuration that the decision was based on.
    pub(crate) configuration: units::Version,
    /// Attempts so far.
    pub(crate) attempts: u32,
    /// Priority of the route; zero is the most urgent.
    pub(crate) priority: u32,
    /// Time left until its deadline.
    pub(crate) left: time::Duration,
}

impl Event<'_> {
    /// Logs the event.
    pub(crate) fn log(self, inputs: &Inputs<'_>) {
        let left_ms = units::millis(inputs.left);
        let (request, service) = (inputs.request, inputs.service.as_str());
        let (configuration, attempts) = (inputs.configuration.0, inputs.attempts);
        match self {
            Self::Retried { node, problem } => {
                let reason = problem.map_or("backend-server-failed", |one| one.reason.as_str());
                log::info!(target: telemetry::REQUESTS, event = "request-retried", request = request, service = service,
                    configuration = configuration, attempts = attempts, left_ms = left_ms,
                    node:% = node, reason = reason; "request sent again");
            }
            Self::Ended(problem) => {
                log::info!(target: telemetry::REQUESTS, event = "request-ended", request = request, service = service,
                    configuration = configuration, attempts = attempts, left_ms = left_ms,
                    reason = problem.reason.as_str(), outcome:% = problem.outcome,
                    retry_after_ms = retry_after_ms(problem); "request answered by the system");
            }
            Self::Refused(problem) => {
                let occupancy = problem.occupancy.unwrap_or_default();
                log::info!(target: telemetry::REQUESTS, event = "request-refused", request = request, service = service,
                    configuration = configuration, attempts = attempts, left_ms = left_ms,
                    priority = inputs.priority, running = occupancy.running, waiting = occupancy.waiting,
                    limit = occupancy.limit, wait_ms = units::millis(occupancy.wait), runtime_ms = units::millis(occupancy.runtime),
                    reason = problem.reason.as_str(), outcome:% = problem.outcome,
                    retry_after_ms = retry_after_ms(problem); "request refused by the owner");
            }
        }
    }
}

fn retry_after_ms(problem: &Problem) -> u64 {
    units::millis(problem.retry_after.unwrap_or_default())
}
