//! All clients of a listener.

use std::cell;
use std::cmp;
use std::rc;
use std::time;

use super::client::Cause;
use super::progress::{Phase, Progress};
use super::{Client, Counts, Limits};

/// All clients of a listener; clones share them.
#[derive(Clone)]
pub(crate) struct Registry {
    state: rc::Rc<State>,
}

/// Reads the counts of a listener's clients.
pub struct Monitor {
    state: rc::Rc<State>,
}

/// A client's entry, which its connection holds for as long as it is open.
pub(crate) struct Entry {
    client: rc::Rc<Client>,
    state: rc::Rc<State>,
}

pub(super) struct State {
    pub(super) limits: Limits,
    /// Sorted by id.
    clients: cell::RefCell<Vec<rc::Rc<Client>>>,
    /// Number of the last client.
    last: cell::Cell<u64>,
    /// Bytes that all connections hold.
    held: cell::Cell<u64>,
    /// The part of them that connections hold that are about to be closed.
    leaving: cell::Cell<u64>,
    counts: cell::Cell<Counts>,
}

impl Registry {
    /// Time between two looks at clients that may be stuck.
    const STEP: time::Duration = time::Duration::from_secs(1);
    /// Time for which a connection that is idle or waits for its client keeps its place in any case.
    const KEEP: time::Duration = time::Duration::from_secs(1);

    pub(crate) fn new(limits: Limits) -> Self {
        let state = State {
            limits,
            clients: cell::RefCell::default(),
            last: cell::Cell::default(),
            held: cell::Cell::default(),
            leaving: cell::Cell::default(),
            counts: cell::Cell::default(),
        };
        Self {
            state: rc::Rc::new(state),
        }
    }

    /// Adds a client.
    pub(crate) fn enter(&self) -> Entry {
        let state = self.state.clone();
        let id = state.last.get() + 1;
        state.last.set(id);
        let client = rc::Rc::new(Client::new(id, state.clone(), time::Instant::now()));
        state.clients.borrow_mut().push(client.clone());
        client.hold(Client::CONNECTION_BYTES);
        Entry { client, state }
    }

    /// Number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.state.clients.borrow().len()
    }

    /// Asks for up to `places` connections to be closed, those first whose clients take least.
    pub(crate) fn make_places(&self, places: usize) {
        let now = time::Instant::now();
        let may_go = |client: &Client| {
            let progress = client.progress();
            progress.phase() != Phase::Busy && progress.age(now) >= Self::KEEP
        };
        for _ in 0..places {
            let Some(client) = self
                .state
                .find(may_go, |one, other| one.compare(other, now))
            else {
                return;
            };
            self.state.close(&client, Cause::Place);
        }
    }

    /// Reads the counts.
    pub(crate) fn monitor(&self) -> Monitor {
        let state = self.state.clone();
        Monitor { state }
    }

    /// Looks after stuck clients until all of the listener is gone.
    pub(crate) fn watch(&self) {
        if self.state.limits == Limits::NONE {
            return;
        }
        let state = rc::Rc::downgrade(&self.state);
        compio::runtime::spawn(async move {
            let mut told = Counts::default();
            loop {
                compio::time::sleep(Self::STEP).await;
                let Some(state) = state.upgrade() else {
                    return;
                };
                state.close_stuck(time::Instant::now());
                told = state.tell(told);
            }
        })
        .detach();
    }
}

impl Monitor {
    /// The counts so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.state.counts.get()
    }
}

impl Entry {
    pub(crate) fn client(&self) -> &rc::Rc<Client> {
        &self.client
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.client.leave();
        let mut clients = self.state.clients.borrow_mut();
        if let Ok(place) = clients.binary_search_by_key(&self.client.id, |client| client.id) {
            clients.remove(place);
        }
    }
}

impl State {
    /// Whether `bytes` more can be held.
    pub(super) fn has_room(&self, bytes: u64) -> bool {
        self.held.get().saturating_add(bytes) <= self.limits.memory
    }

    pub(super) fn hold(&self, bytes: u64) {
        self.held.set(self.held.get() + bytes);
        self.make_room(0);
    }

    pub(super) fn release(&self, bytes: u64) {
        self.held.set(self.held.get() - bytes);
    }

    pub(super) fn leave(&self, bytes: u64) {
        self.leaving.set(self.leaving.get() + bytes);
    }

    /// A connection that was about to be closed, and held `bytes`, is closed.
    pub(super) fn left(&self, bytes: u64) {
        self.leaving.set(self.leaving.get() - bytes);
    }

    /// Closes those first whose clients take least, until `further` bytes can be held once they are gone.
    pub(super) fn make_room(&self, further: u64) {
        loop {
            let staying = self.held.get() - self.leaving.get();
            if staying.saturating_add(further) <= self.limits.memory {
                return;
            }
            let now = time::Instant::now();
            let may_go = |client: &Client| {
                let progress = client.progress();
                match progress.phase() {
                    Phase::Waiting => true,
                    Phase::Busy => false,
                    // A connection that was opened just now gets a 503, which says more than a close.
                    Phase::Idle => progress.age(now) >= Registry::KEEP,
                }
            };
            let Some(client) = self.find(may_go, |one, other| one.compare_waiting(other, now))
            else {
                return;
            };
            self.close(&client, Cause::Memory);
        }
    }

    /// The first client by `order` of those that `may_go`.
    fn find(
        &self,
        may_go: impl Fn(&Client) -> bool,
        order: impl Fn(&Progress, &Progress) -> cmp::Ordering,
    ) -> Option<rc::Rc<Client>> {
        let clients = self.clients.borrow();
        let found = clients
            .iter()
            .filter(|client| !client.is_closing() && may_go(client))
            .min_by(|one, other| order(&one.progress(), &other.progress()));
        found.cloned()
    }

    fn close(&self, client: &Client, cause: Cause) {
        let mut counts = self.counts.get();
        match cause {
            Cause::Stuck => counts.stuck += 1,
            Cause::Memory => counts.for_memory += 1,
            Cause::Place => counts.for_place += 1,
        }
        self.counts.set(counts);
        client.close(cause);
    }

    fn close_stuck(&self, now: time::Instant) {
        let clients = self.clients.borrow();
        let open = clients.iter().filter(|client| !client.is_closing());
        for client in open.filter(|client| client.is_stuck(now)) {
            self.close(client, Cause::Stuck);
        }
    }

    /// Logs what was closed since `told`, in one line however much it is.
    fn tell(&self, told: Counts) -> Counts {
        let counts = self.counts.get();
        if counts != told {
            let open = self.clients.borrow().len();
            log::warn!(stuck = counts.stuck - told.stuck, for_memory = counts.for_memory - told.for_memory,
                for_place = counts.for_place - told.for_place, open = open, held_bytes = self.held.get(),
                limit_bytes = self.limits.memory; "clients-closed");
        }
        counts
    }
}
