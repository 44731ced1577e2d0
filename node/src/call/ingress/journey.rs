//! What becomes of a request over its attempts.

use std::cell;

use upstream::Outcome;

use crate::call::Problem;

/// What has become of a request so far.
#[derive(Default)]
pub(crate) struct Journey {
    /// The problem of the attempt with the worst outcome, the last one among equals.
    worst: cell::Cell<Option<Problem>>,
    /// Whether an attempt is on its way.
    under_way: cell::Cell<bool>,
}

impl Journey {
    /// What became of the request: the worst of its attempts, one under way included.
    pub(super) fn outcome(&self) -> Outcome {
        let worst = self
            .worst
            .get()
            .map_or(Outcome::NotRun, |worst| worst.outcome);
        if self.under_way.get() {
            worst.max(Outcome::Unknown)
        } else {
            worst
        }
    }

    /// An attempt is on its way.
    pub(super) fn start(&self) {
        self.under_way.set(true);
    }

    /// An attempt was answered.
    pub(super) fn answer(&self) {
        self.under_way.set(false);
    }

    /// An attempt ended with `problem`.
    pub(super) fn end(&self, problem: Problem) {
        self.under_way.set(false);
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
