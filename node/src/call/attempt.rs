//! A single attempt of a request at one backend server.

use std::rc;
use std::time;

use routing::{Baseline, Endpoint, Group, InFlightGuard, Policy};

use super::{Problem, Reason};

/// An attempt of a request, which reports its result to the endpoint.
///
/// An attempt that is dropped without a result, for example because the caller cancels, counts as a
/// failure of the endpoint if it has taken much longer than responses usually take there.
pub struct Attempt {
    flight: InFlightGuard,
    group: Option<rc::Rc<Group>>,
    baseline: rc::Rc<Baseline>,
    settings: rc::Rc<super::Settings>,
    started: time::Instant,
    decided: bool,
    ejected: bool,
}

impl Attempt {
    /// Shortest time after which an attempt without a response counts as a failure.
    const OVERDUE_MIN: time::Duration = time::Duration::from_millis(250);
    /// Multiple of the usual latency after which an attempt without a response counts as a failure.
    const OVERDUE_LATENCIES: f64 = 5.0;

    /// Starts an attempt at `endpoint` of `group`.
    #[must_use]
    pub fn new(
        endpoint: &rc::Rc<Endpoint>,
        group: Option<rc::Rc<Group>>,
        baseline: rc::Rc<Baseline>,
        settings: rc::Rc<super::Settings>,
        now: time::Instant,
    ) -> Self {
        endpoint.use_turn(now);
        let mut health = endpoint.health.get();
        if health.verdict(now) == routing::Verdict::Probe {
            health.start_probe(now, settings.choice.eject_base.0);
            endpoint.health.set(health);
        }
        Self {
            flight: endpoint.count_in_flight(),
            group,
            baseline,
            settings,
            started: now,
            decided: false,
            ejected: false,
        }
    }

    /// Returns the endpoint that the attempt is sent to.
    #[must_use]
    pub fn endpoint(&self) -> &rc::Rc<Endpoint> {
        self.flight.endpoint()
    }

    /// Returns the time since the attempt was sent.
    #[must_use]
    pub fn elapsed(&self) -> time::Duration {
        self.started.elapsed()
    }

    /// Records a response of the backend server with `status`.
    pub fn answer(&mut self, status: http::StatusCode) {
        self.decided = true;
        let now = time::Instant::now();
        let latency = now.saturating_duration_since(self.started);
        self.endpoint().record_latency(latency, now, self.choice());
        let ratio = self.baseline.observe_latency(latency);
        self.endpoint()
            .record_latency_ratio(ratio, now, self.choice());
        if status.is_server_error() {
            self.fail(now);
        } else {
            self.succeed();
        }
    }

    /// Records that the attempt ended with `problem`; returns whether this ejected the endpoint.
    pub fn end(&mut self, problem: &Problem) -> bool {
        self.decided = true;
        let now = time::Instant::now();
        if problem.reason.is_refusal() {
            let wait = problem.retry_after.unwrap_or_default();
            self.endpoint()
                .record_refusal(wait.min(Self::OVERDUE_MIN), now);
        } else if !problem.reason.is(Reason::Deadline) || self.is_overdue() {
            self.fail(now);
        }
        self.ejected
    }

    /// Records that the body of the response was truncated.
    pub fn truncate(&mut self) {
        self.fail(time::Instant::now());
    }

    fn succeed(&self) {
        let mut health = self.endpoint().health.get();
        health.succeed();
        self.endpoint().health.set(health);
    }

    fn fail(&mut self, now: time::Instant) {
        let choice = &self.settings.choice;
        let allowed = self
            .group
            .as_ref()
            .is_some_and(|group| group.may_eject(choice));
        let mut health = self.endpoint().health.get();
        self.ejected |= health.fail(now, choice, allowed);
        self.endpoint().health.set(health);
    }

    fn is_overdue(&self) -> bool {
        let usual = self.endpoint().latency_ms() * Self::OVERDUE_LATENCIES;
        let usual = time::Duration::from_secs_f64(usual.max(0.0) / 1_000.0);
        self.elapsed() >= usual.max(Self::OVERDUE_MIN)
    }

    fn choice(&self) -> &Policy {
        &self.settings.choice
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.decided && self.is_overdue() {
            self.fail(time::Instant::now());
        }
    }
}
