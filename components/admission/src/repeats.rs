//! Repeats among what a backend server gets and runs.

use std::cell;
use std::rc;
use std::time;

use units::Share;

use crate::sum::count;
use crate::{Allowance, Arrivals, Budget, Repeat};

/// Repeats among what a backend server gets and runs; clones share the state.
#[derive(Clone)]
pub struct Repeats {
    shared: rc::Rc<Shared>,
}

struct Shared {
    allowance: Allowance,
    arrivals: cell::RefCell<Arrivals>,
    /// Requests that run.
    running: cell::Cell<u64>,
    /// Of these, such as a backend server may have had before.
    resent: cell::Cell<u64>,
}

/// A request that runs, until it is dropped.
#[must_use]
pub struct Run {
    shared: rc::Rc<Shared>,
    resent: bool,
}

impl Repeats {
    /// Counts from `now` on.
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

    /// Whether the backend server may get one more repeat; the service has so many `owners`.
    #[must_use]
    pub fn allows(&self, owners: u32, now: time::Instant) -> bool {
        let budget = self.budget(owners, now);
        count(budget.arrived.resent) + 1.0 <= budget.limit
    }

    /// What arrived in the window that ends at `now`, and the resent requests that may; the service
    /// has so many `owners`.
    #[must_use]
    pub fn budget(&self, owners: u32, now: time::Instant) -> Budget {
        let mut arrivals = self.shared.arrivals.borrow_mut();
        arrivals.note_owners(owners, now);
        let arrived = arrivals.sum(now);
        let limit = self.shared.allowance.limit(&arrived, arrivals.up(now));
        Budget { arrived, limit }
    }

    /// A request that is `depth` calls deep goes to the backend server.
    pub fn start(&self, repeat: Repeat, depth: u32, now: time::Instant) -> Run {
        let shared = self.shared.clone();
        shared.arrivals.borrow_mut().add(repeat, depth, now);
        shared.running.set(shared.running.get() + 1);
        let resent = repeat.resent;
        shared.resent.set(shared.resent.get() + u64::from(resent));
        Run { shared, resent }
    }

    /// Part of the runs that may make a call at `now` which are repeats: of those that run, or of those
    /// that have just started, where that is more. Runs that fail are short, and make their calls
    /// first.
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
