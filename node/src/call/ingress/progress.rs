//! Progress of a request over its attempts.

use std::cell;
use std::rc;
use std::time;

use routing::Endpoint;
use upstream::Outcome;

use crate::call::Problem;

/// Progress of a request over its attempts.
#[derive(Default)]
pub(crate) struct Progress {
    /// Problem of the attempt with the worst outcome, the latest one among equals.
    worst: cell::Cell<Option<Problem>>,
    /// Attempt in flight.
    in_flight: cell::RefCell<Option<InFlight>>,
    /// Whether an attempt has reached a backend server.
    reached: cell::Cell<bool>,
}

/// An attempt in flight.
#[derive(Clone)]
pub(super) struct InFlight {
    pub(super) endpoint: rc::Rc<Endpoint>,
    /// Time at which the attempt was sent.
    pub(super) since: time::Instant,
}

impl Progress {
    /// Returns the outcome of the request: the worst of its attempts, including one in flight.
    pub(super) fn outcome(&self) -> Outcome {
        let worst = self
            .worst
            .get()
            .map_or(Outcome::NotRun, |worst| worst.outcome);
        if self.in_flight.borrow().is_some() {
            worst.max(Outcome::Unknown)
        } else {
            worst
        }
    }

    /// Records that an attempt was sent to `endpoint`.
    pub(super) fn start(&self, endpoint: &rc::Rc<Endpoint>) {
        self.in_flight.replace(Some(InFlight {
            endpoint: endpoint.clone(),
            since: time::Instant::now(),
        }));
    }

    /// Records that the attempt was answered.
    pub(super) fn answer(&self) {
        self.reached.set(true);
        self.in_flight.replace(None);
    }

    /// Returns whether no attempt has reached a backend server, and none can any more.
    pub(super) fn is_unreached(&self) -> bool {
        !self.reached.get() && self.outcome() == Outcome::NotRun
    }

    /// Returns the attempt in flight.
    pub(super) fn in_flight(&self) -> Option<InFlight> {
        self.in_flight.borrow().clone()
    }

    /// Records that the attempt ended with `problem`.
    pub(super) fn end(&self, problem: Problem) {
        self.in_flight.replace(None);
        if problem.reason.is_from_backend() {
            self.reached.set(true);
        }
        if problem.outcome >= self.outcome() {
            self.worst.set(Some(problem));
        }
    }

    /// Returns the problem to report when the request ends with `last`: a later refusal does not
    /// hide the worse outcome of an earlier attempt.
    pub(super) fn final_problem(&self, last: Problem) -> Problem {
        match self.worst.get() {
            Some(worst) if worst.outcome > last.outcome => worst,
            _ => last,
        }
    }
}
