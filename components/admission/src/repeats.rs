//! Repeats among the requests that a backend server receives and runs.

use std::cell;
use std::rc;
use std::time;

use units::Share;

use crate::sum::count;
use crate::{Allowance, Arrivals, Budget, Repeat};

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
    /// Running requests that are retries.
    resent: cell::Cell<u64>,
}

/// Running request, until dropped.
#[must_use]
pub struct Run {
    shared: rc::Rc<Shared>,
    resent: bool,
}

impl Repeats {
    /// Creates a count that starts at `now`.
    #[must_use]
    pub fn new(allowance: Allowance, now: time::Instant) -> Self {
        let shared = Shared {
            arrivals: cell::RefCell::new(Arrivals::new(allowance.window.0, now)),
            allowance,
            running: cell::Cell::default(),
            resent: cell::Cell::default(),
        };
        Self {
            shared: rc::Rc::new(shared),
        }
    }

    /// Whether the budget of a service with `owners` owners allows the backend server one more retry.
    #[must_use]
    pub fn allows(&self, owners: u32, now: time::Instant) -> bool {
        let budget = self.budget(owners, now);
        count(budget.arrived.resent) + 1.0 <= budget.limit
    }

    /// Arrivals in the window that ends at `now` and the limit on retries, for a service with `owners`
    /// owners.
    #[must_use]
    pub fn budget(&self, owners: u32, now: time::Instant) -> Budget {
        let mut arrivals = self.shared.arrivals.borrow_mut();
        arrivals.record_owners(owners, now);
        let arrived = arrivals.sum(now);
        let limit = self.shared.allowance.limit(&arrived, arrivals.uptime(now));
        Budget { arrived, limit }
    }

    /// Counts a request that starts at the backend server at call depth `depth`.
    pub fn start(&self, repeat: Repeat, depth: u32, now: time::Instant) -> Run {
        let shared = self.shared.clone();
        shared.arrivals.borrow_mut().add(repeat, depth, now);
        shared.running.set(shared.running.get() + 1);
        let resent = repeat.resent;
        shared.resent.set(shared.resent.get() + u64::from(resent));
        Run { shared, resent }
    }

    /// Share of repeated runs among the runs that may make a call at `now`: among the running ones or among
    /// those started recently, whichever is higher. Failing runs are short, and make their calls before
    /// they fail.
    #[must_use]
    pub fn share(&self, now: time::Instant) -> Share {
        let running = share(self.shared.resent.get(), self.shared.running.get());
        let latest = self.shared.arrivals.borrow_mut().latest(now);
        running.max(share(latest.resent, latest.first + latest.resent))
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let shared = &self.shared;
        shared.running.set(shared.running.get() - 1);
        let resent = shared.resent.get() - u64::from(self.resent);
        shared.resent.set(resent);
    }
}

fn share(part: u64, whole: u64) -> Share {
    let parts = part * u64::from(Share::WHOLE.parts()) / whole.max(1);
    let parts = u32::try_from(parts).ok();
    parts.and_then(Share::from_parts).unwrap_or(Share::WHOLE)
}
