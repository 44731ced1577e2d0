//! Repeats among the requests that a backend server receives and runs.

use std::cell;
use std::rc;
use std::time;

use crate::sum::{add_parts, count};
use crate::{Allowance, Ancestry, Arrivals, Budget, Repeat, Sum};

/// Repeats among the requests that a backend server receives and runs; clones share the state.
#[derive(Clone)]
pub struct Repeats {
    shared: rc::Rc<Shared>,
}

struct Shared {
    allowance: Allowance,
    arrivals: cell::RefCell<Arrivals>,
    /// Running requests.
    running: cell::Cell<u64>,
    /// Ancestries of the calls of the running requests, added up, in parts per 10,000.
    called_again_parts: cell::Cell<[u64; Ancestry::CALLS]>,
}

/// Running request, until dropped.
#[must_use]
pub struct Run {
    shared: rc::Rc<Shared>,
    /// Ancestry of the calls that the request makes.
    calls: Ancestry,
}

impl Repeats {
    /// Creates a count that starts at `now`.
    #[must_use]
    pub fn new(allowance: Allowance, now: time::Instant) -> Self {
        let shared = Shared {
            arrivals: cell::RefCell::new(Arrivals::new(allowance.window.0, now)),
            allowance,
            running: cell::Cell::default(),
            called_again_parts: cell::Cell::default(),
        };
        Self {
            shared: rc::Rc::new(shared),
        }
    }

    /// Whether the budget of a service with `owners` owners allows the backend server one more retry.
    #[must_use]
    pub fn allows(&self, owners: u32, now: time::Instant) -> bool {
        let (budget, latest) = self.budget_and_latest(owners, now);
        count(budget.arrived.resent) + 1.0 <= budget.limit
            && count(latest.resent) + 1.0 <= Allowance::burst(budget.limit)
    }

    /// Arrivals in the window that ends at `now` and the limit on retries, for a service with `owners`
    /// owners.
    #[must_use]
    pub fn budget(&self, owners: u32, now: time::Instant) -> Budget {
        self.budget_and_latest(owners, now).0
    }

    /// Returns the budget and the arrivals in the last tenth of its window.
    fn budget_and_latest(&self, owners: u32, now: time::Instant) -> (Budget, Sum) {
        let mut arrivals = self.shared.arrivals.borrow_mut();
        arrivals.record_owners(owners, now);
        let arrived = arrivals.sum(now);
        let latest = arrivals.latest(now);
        let uptime = arrivals.uptime(now);
        let limit = self.shared.allowance.limit(&arrived, &latest, uptime);
        (Budget { arrived, limit }, latest)
    }

    /// Counts a request that starts at the backend server at call depth `depth`.
    pub fn start(&self, repeat: Repeat, depth: u32, now: time::Instant) -> Run {
        let shared = self.shared.clone();
        shared.arrivals.borrow_mut().add(repeat, depth, now);
        let calls = repeat.calls();
        shared.running.set(shared.running.get() + 1);
        let mut parts = shared.called_again_parts.get();
        add_parts(&mut parts, calls.parts());
        shared.called_again_parts.set(parts);
        Run { shared, calls }
    }

    /// Ancestry of a call that a run makes at `now`: that of the calls of the running requests or of those
    /// started recently, whichever shows more retries. Failing runs are short, and make their calls before
    /// they fail.
    #[must_use]
    pub fn calls(&self, now: time::Instant) -> Ancestry {
        let running = self.shared.called_again_parts.get();
        let running = Ancestry::mean(running, self.shared.running.get());
        let latest = self.shared.arrivals.borrow_mut().latest(now);
        let latest = latest.calls();
        if latest.total() > running.total() {
            latest
        } else {
            running
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let shared = &self.shared;
        shared.running.set(shared.running.get() - 1);
        let mut parts = shared.called_again_parts.get();
        for (sum, part) in parts.iter_mut().zip(self.calls.parts()) {
            *sum -= part;
        }
        shared.called_again_parts.set(parts);
    }
}
