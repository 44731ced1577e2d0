//! Sends a request until it is answered or must not be sent again.

use routing::Observer;
use upstream::Outcome;

use super::trail::Trail;
use super::{Answer, Arrival, Dialect, Ingress, Journey, Problem, Reason};
use crate::call::event::{Event, Inputs};
use crate::call::{Decision, Retry};

impl<L: peer::Link, O: Observer, D: Dialect> Ingress<L, O, D> {
    /// Attempts a request until it is answered or must not be sent again.
    pub(super) async fn run(
        &self,
        arrival: &Arrival,
        journey: &Journey,
    ) -> Result<Answer<L, O, D>, Problem> {
        let mut trail = Trail::default();
        loop {
            let target = self.find_target(arrival, &trail).await?;
            let attempts = trail.attempts() + 1;
            let envelope = self.envelope(arrival, &target.endpoint, attempts, &trail, None);
            let endpoint = target.endpoint.clone();
            let problem = match self.attempt(arrival, target, envelope, journey).await {
                Ok(answer) if answer.parts.status.is_server_error() => {
                    trail.reached += 1;
                    if !self.may_retry(arrival, &trail, Outcome::Ran, attempts) {
                        return Ok(answer);
                    }
                    self.observe(&answer.passage.attempt, &arrival.route.name, true);
                    journey.end(Problem::unknown(Reason::Failure));
                    let node = &endpoint.node;
                    let problem = None;
                    Event::Retried { node, problem }.log(&self.inputs(arrival, attempts));
                    trail.tried.push(endpoint.node.clone());
                    continue;
                }
                Ok(answer) => return Ok(answer),
                Err(problem) => problem,
            };
            trail.reached += u32::from(problem.reason.is_from_backend());
            trail.last = Some(problem);
            let withheld = problem.reason.is(Reason::Withheld);
            if withheld && trail.closed.is_none() && arrival.payload.is_replayable() {
                // Sent elsewhere once, which is no retry: nothing has run or failed.
                trail.closed = Some(endpoint.version.clone());
                trail.tried.push(endpoint.node.clone());
                continue;
            }
            let outcome = problem.outcome.max(journey.outcome());
            if problem.reason.is_final() || !self.may_retry(arrival, &trail, outcome, attempts) {
                return Err(problem);
            }
            let crashed = problem.reason.is(Reason::Crashed);
            if crashed && trail.suspect {
                // A retry would be faster than the owners' notices of the two crashes.
                return Err(problem);
            }
            trail.suspect |= crashed;
            let retried = Event::Retried {
                node: &endpoint.node,
                problem: Some(&problem),
            };
            retried.log(&self.inputs(arrival, attempts));
            trail.tried.push(endpoint.node.clone());
        }
    }

    /// What is known of a request, for a log line.
    pub(super) fn inputs<'e>(&self, arrival: &'e Arrival, attempts: u32) -> Inputs<'e> {
        Inputs {
            request: &arrival.id,
            service: &arrival.service,
            configuration: self.shared.context.holder.get().version(),
            attempts,
            priority: arrival.route.priority,
            left: arrival.left(),
        }
    }

    pub(super) fn may_retry(
        &self,
        arrival: &Arrival,
        trail: &Trail,
        outcome: Outcome,
        attempts: u32,
    ) -> bool {
        let decision = Decision {
            outcome,
            idempotent: arrival.idempotent,
            replayable: arrival.payload.is_replayable(),
            retried_above: arrival.attempt > 1,
            attempts,
            reached: trail.reached,
            reach: arrival.route.attempts,
            left: arrival.left(),
            usual: arrival.usual.latency(),
        };
        let retry = &self.shared.context.settings.retry;
        let allowed = retry.allows(&decision);
        if allowed && !arrival.idempotent && decision.outcome != Outcome::NotRun {
            self.count(|counts| counts.repeated += 1);
            log::error!(request = arrival.id.as_str();
                "invariant violated: a request that may have run is sent again");
            return false;
        }
        allowed
    }

    /// The baseline: round robin, and three retries whatever became of the request.
    pub(super) async fn run_blindly(
        &self,
        arrival: &Arrival,
        journey: &Journey,
    ) -> Result<Answer<L, O, D>, Problem> {
        let mut attempts = 0;
        loop {
            let trail = Trail::reached(attempts);
            attempts += 1;
            let target = self.rotate(arrival)?;
            let envelope = self.envelope(arrival, &target.endpoint, attempts, &trail, None);
            let ended = self.attempt(arrival, target, envelope, journey).await;
            let failed = match &ended {
                Ok(answer) => answer.parts.status.is_server_error(),
                Err(_) => true,
            };
            let last = attempts >= Retry::BASELINE_ATTEMPTS;
            if !failed || last || !arrival.payload.is_replayable() {
                return ended;
            }
        }
    }
}
