//! One attempt of a request at one backend server.

use std::rc;
use std::time;

use routing::{Endpoint, Flight, Group, Policy, Usual};

use super::{Problem, Reason};

/// One attempt of a request, which tells its endpoint how it went.
///
/// One that is dropped undecided, such as when its caller gives up, counts as a failure of the
/// endpoint when it has taken far longer than answers usually take there.
pub struct Attempt {
    flight: Flight,
    group: Option<rc::Rc<Group>>,
    usual: rc::Rc<Usual>,
    policy: rc::Rc<super::Settings>,
    started: time::Instant,
    decided: bool,
    ejected: bool,
}

impl Attempt {
    /// Shortest time after which an attempt without an answer counts as a failure.
    const PATIENCE_MIN: time::Duration = time::Duration::from_millis(250);
    /// The same as a multiple of the usual latency.
    const PATIENCE_LATENCIES: f64 = 5.0;

    /// Starts an attempt at `endpoint` of `group`.
    #[must_use]
    pub fn new(
        endpoint: &rc::Rc<Endpoint>,
        group: Option<rc::Rc<Group>>,
        usual: rc::Rc<Usual>,
        settings: rc::Rc<super::Settings>,
        now: time::Instant,
    ) -> Self {
        endpoint.use_turn(now);
        let mut health = endpoint.health.get();
        if health.verdict(now) == routing::Verdict::Probe {
            health.probe(now, settings.choice.eject_base.0);
            endpoint.health.set(health);
        }
        Self {
            flight: endpoint.start(),
            group,
            usual,
            policy: settings,
            started: now,
            decided: false,
            ejected: false,
        }
    }

    /// Where it goes.
    #[must_use]
    pub fn endpoint(&self) -> &rc::Rc<Endpoint> {
        self.flight.endpoint()
    }

    /// Time since its start.
    #[must_use]
    pub fn elapsed(&self) -> time::Duration {
        self.started.elapsed()
    }

    /// The backend server answered with `status`.
    pub fn answer(&mut self, status: http::StatusCode) {
        self.decided = true;
        let now = time::Instant::now();
        let latency = now.saturating_duration_since(self.started);
        self.endpoint().observe(latency, now, self.choice());
        let ratio = self.usual.compare(latency);
        self.endpoint().compare(ratio, now, self.choice());
        if status.is_server_error() {
            self.fail(now);
        } else {
            self.succeed();
        }
    }

    /// The attempt ended with `problem`; returns whether the endpoint was ejected for it.
    pub fn end(&mut self, problem: &Problem) -> bool {
        self.decided = true;
        let now = time::Instant::now();
        if problem.reason.is_refusal() {
            let wait = problem.retry_after.unwrap_or_default();
            self.endpoint().refuse(wait.min(Self::PATIENCE_MIN), now);
        } else if !problem.reason.is(Reason::Deadline) || self.is_overdue() {
            self.fail(now);
        }
        self.ejected
    }

    /// The body of the answer broke off.
    pub fn break_off(&mut self) {
        self.fail(time::Instant::now());
    }

    fn succeed(&self) {
        let mut health = self.endpoint().health.get();
        health.succeed();
        self.endpoint().health.set(health);
    }

    fn fail(&mut self, now: time::Instant) {
        let choice = &self.policy.choice;
        let allowed = self
            .group
            .as_ref()
            .is_some_and(|group| group.may_eject(choice));
        let mut health = self.endpoint().health.get();
        self.ejected |= health.fail(now, choice, allowed);
        self.endpoint().health.set(health);
    }

    fn is_overdue(&self) -> bool {
        let usual = self.endpoint().latency_ms() * Self::PATIENCE_LATENCIES;
        let usual = time::Duration::from_secs_f64(usual.max(0.0) / 1_000.0);
        self.elapsed() >= usual.max(Self::PATIENCE_MIN)
    }

    fn choice(&self) -> &Policy {
        &self.policy.choice
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.decided && self.is_overdue() {
            self.fail(time::Instant::now());
        }
    }
}
