//! Retries of requests.

use routing::Observer;
use upstream::Outcome;

use super::history::History;
use super::{Answer, Arrival, Dialect, Ingress, Problem, Progress, Reason};
use crate::call::event::{Event, Inputs};
use crate::call::{Decision, Retry};

impl<L: peer::Link, O: Observer, D: Dialect> Ingress<L, O, D> {
    /// Sends a request until it is answered or must not be sent again.
    pub(super) async fn run(
        &self,
        arrival: &Arrival,
        progress: &Progress,
    ) -> Result<Answer<L, O, D>, Problem> {
        let mut history = History::default();
        loop {
            let target = self.find_target(arrival, &history).await?;
            let attempts = history.attempts() + 1;
            let envelope = self.envelope(arrival, &target.endpoint, attempts, &history, None);
            let endpoint = target.endpoint.clone();
            let problem = match self.attempt(arrival, target, envelope, progress).await {
                Ok(answer) if answer.parts.status.is_server_error() => {
                    history.reached += 1;
                    if !self.may_retry(arrival, &history, Outcome::Ran, attempts) {
                        return Ok(answer);
                    }
                    self.observe(&answer.delivery.attempt, &arrival.route.name, true);
                    progress.end(Problem::unknown(Reason::Failure));
                    let node = &endpoint.node;
                    let problem = None;
                    Event::Retried { node, problem }.log(&self.inputs(arrival, attempts));
                    history.tried.push(endpoint.node.clone());
                    continue;
                }
                Ok(answer) => return Ok(answer),
                Err(problem) => problem,
            };
            history.reached += u32::from(problem.reason.is_from_backend());
            history.last = Some(problem);
            let is_withheld = problem.reason.is(Reason::Withheld);
            if is_withheld && history.withheld_version.is_none() && arrival.payload.is_replayable()
            {
                // Sending to another version once is not a retry, because nothing has run or
                // failed.
                history.withheld_version = Some(endpoint.version.clone());
                history.tried.push(endpoint.node.clone());
                continue;
            }
            let outcome = problem.outcome.max(progress.outcome());
            if problem.reason.is_final() || !self.may_retry(arrival, &history, outcome, attempts) {
                return Err(problem);
            }
            let crashed = problem.reason.is(Reason::Crashed);
            if crashed && history.suspect {
                // A retry would arrive before the owners' notices of the two crashes.
                return Err(problem);
            }
            history.suspect |= crashed;
            let retried = Event::Retried {
                node: &endpoint.node,
                problem: Some(&problem),
            };
            retried.log(&self.inputs(arrival, attempts));
            history.tried.push(endpoint.node.clone());
        }
    }

    /// Returns the log context of a request.
    pub(super) fn inputs<'e>(&self, arrival: &'e Arrival, attempts: u32) -> Inputs<'e> {
        Inputs {
            request: &arrival.id,
            service: &arrival.service,
            configuration: self.shared.context.holder.get().version(),
            attempts,
            priority: arrival.route.priority,
            left: arrival.time_left(),
        }
    }

    pub(super) fn may_retry(
        &self,
        arrival: &Arrival,
        history: &History,
        outcome: Outcome,
        attempts: u32,
    ) -> bool {
        let decision = Decision {
            outcome,
            idempotent: arrival.idempotent,
            replayable: arrival.payload.is_replayable(),
            retried_upstream: arrival.attempt > 1,
            attempts,
            reached: history.reached,
            max_reached: arrival.route.attempts,
            time_left: arrival.time_left(),
            usual: arrival.baseline.latency(),
        };
        let retry = &self.shared.context.settings.retry;
        let allowed = retry.allows(&decision);
        if allowed && !arrival.idempotent && decision.outcome != Outcome::NotRun {
            self.count(|counts| counts.repeated += 1);
            log::error!(request = arrival.id.as_str();
                "invariant violated: resending a request that may have run");
            return false;
        }
        allowed
    }

    /// Runs a request in the baseline mode: round robin with three retries, whatever the outcome.
    pub(super) async fn run_baseline(
        &self,
        arrival: &Arrival,
        progress: &Progress,
    ) -> Result<Answer<L, O, D>, Problem> {
        let mut attempts = 0;
        loop {
            let history = History::reached(attempts);
            attempts += 1;
            let target = self.rotate(arrival)?;
            let envelope = self.envelope(arrival, &target.endpoint, attempts, &history, None);
            let result = self.attempt(arrival, target, envelope, progress).await;
            let failed = match &result {
                Ok(answer) => answer.parts.status.is_server_error(),
                Err(_) => true,
            };
            let last = attempts >= Retry::BASELINE_ATTEMPTS;
            if !failed || last || !arrival.payload.is_replayable() {
                return result;
            }
        }
    }
}
