//! State that the object API and the control port share.

use std::cell;
use std::rc;
use std::time;

use futures_channel::oneshot;
use rand::SeedableRng;
use rand::rngs;

use crate::limiter::Limiter;
use crate::objects::Objects;
use crate::{Counts, Faults, Settings};

/// State that the object API and the control port share.
pub(crate) type Shared = rc::Rc<State>;

pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) objects: cell::RefCell<Objects>,
    pub(crate) faults: cell::Cell<Faults>,
    pub(crate) counts: cell::Cell<Counts>,
    pub(crate) writes: cell::RefCell<Limiter>,
    pub(crate) reads: cell::RefCell<Limiter>,
    pub(crate) draws: cell::RefCell<rngs::StdRng>,
    /// Set at shutdown, so that waiting watches end.
    pub(crate) stopping: cell::Cell<bool>,
    waiting: cell::RefCell<Vec<oneshot::Sender<()>>>,
}

impl State {
    pub(crate) fn new(settings: Settings) -> Shared {
        let now = time::Instant::now();
        rc::Rc::new(Self {
            objects: cell::RefCell::new(Objects::new(settings.history)),
            faults: cell::Cell::default(),
            counts: cell::Cell::default(),
            writes: cell::RefCell::new(Limiter::new(settings.writes, now)),
            reads: cell::RefCell::new(Limiter::new(settings.reads, now)),
            draws: cell::RefCell::new(rngs::StdRng::seed_from_u64(settings.seed)),
            stopping: cell::Cell::default(),
            waiting: cell::RefCell::default(),
            settings,
        })
    }

    /// Counts one call.
    pub(crate) fn count(&self, add: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        add(&mut counts);
        self.counts.set(counts);
    }

    /// Waits until something changes, at most for `wait`.
    pub(crate) async fn changed(&self, wait: time::Duration) {
        let (sender, changed) = oneshot::channel();
        {
            let mut waiting = self.waiting.borrow_mut();
            waiting.retain(|one| !one.is_canceled());
            waiting.push(sender);
        }
        // Whether it changed or the time ran out, the caller looks again.
        let _ = compio::time::timeout(wait, changed).await;
    }

    /// Wakes every watch that waits.
    pub(crate) fn notify(&self) {
        for waiting in self.waiting.take() {
            let _ = waiting.send(());
        }
    }

    /// Watches that wait, those included whose client has just gone.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }
}
