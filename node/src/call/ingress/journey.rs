//! What becomes of a request over its attempts.

use std::cell;
use std::rc;
use std::time;

use routing::Endpoint;
use upstream::Outcome;

use crate::call::Problem;

/// What has become of a request so far.
#[derive(Default)]
pub(crate) struct Journey {
    /// The problem of the attempt with the worst outcome, the last one among equals.
    worst: cell::Cell<Option<Problem>>,
    /// The attempt that is on its way.
    under_way: cell::RefCell<Option<UnderWay>>,
}

/// An attempt that is on its way.
#[derive(Clone)]
pub(super) struct UnderWay {
    /// Where it was sent.
    pub(super) endpoint: rc::Rc<Endpoint>,
    /// When.
    pub(super) since: time::Instant,
}

impl Journey {
    /// What became of the request: the worst of its attempts, one under way included.
    pub(super) fn outcome(&self) -> Outcome {
        let worst = self
            .worst
            .get()
            .map_or(Outcome::NotRun, |worst| worst.outcome);
        if self.under_way.borrow().is_some() {
            worst.max(Outcome::Unknown)
        } else {
            worst
        }
    }

    /// An attempt to `endpoint` is on its way.
    pub(super) fn start(&self, endpoint: &rc::Rc<Endpoint>) {
        self.under_way.replace(Some(UnderWay {
            endpoint: endpoint.clone(),
            since: time::Instant::now(),
        }));
    }

    /// An attempt was answered.
    pub(super) fn answer(&self) {
        self.under_way.replace(None);
    }

    /// The attempt that is on its way.
    pub(super) fn under_way(&self) -> Option<UnderWay> {
        self.under_way.borrow().clone()
    }

    /// An attempt ended with `problem`.
    pub(super) fn end(&self, problem: Problem) {
        self.under_way.replace(None);
        if problem.outcome >= self.outcome() {
            self.worst.set(Some(problem));
        }
    }

    /// What its caller is told when it ends with `last`: a later refusal hides no earlier attempt.
    pub(super) fn tell(&self, last: Problem) -> Problem {
        match self.worst.get() {
            Some(worst) if worst.outcome > last.outcome => worst,
            _ => last,
        }
    }
}
