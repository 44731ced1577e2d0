//! Connections to one server.

use std::cell;
use std::rc;
use std::time;

use futures_channel::oneshot;
use serde::Serialize;

use crate::connection::{Connection, Unanswered};
use crate::{Cause, Dialer, Failure, Feed, Patience, Reply, Settings};

/// Connections to one server; clones share them.
#[derive(Clone)]
pub struct Pool {
    shared: rc::Rc<Shared>,
}

struct Shared {
    address: units::Address,
    settings: rc::Rc<Settings>,
    dialer: Dialer,
    connections: cell::RefCell<Vec<Connection>>,
    /// Requests that wait for the dial in progress.
    waiters: cell::RefCell<Vec<oneshot::Sender<()>>>,
    dialling: cell::Cell<bool>,
    failures: cell::Cell<u32>,
    /// No dial starts before this time.
    resume: cell::Cell<Option<time::Instant>>,
    opened: cell::Cell<u64>,
    retired: cell::Cell<u64>,
}

/// Figures of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Connections open now.
    pub open: usize,
    /// Requests on them now.
    pub in_flight: usize,
    /// Connections opened so far.
    pub opened: u64,
    /// Connections retired because they were silent or closed.
    pub retired: u64,
}

impl Pool {
    /// Attempts to find a connection that takes the request before any byte of it is sent.
    const UNSENT_TRIES: usize = 3;

    /// A pool of connections to `address`, none open yet.
    #[must_use]
    pub fn new(address: units::Address, settings: rc::Rc<Settings>, dialer: Dialer) -> Self {
        let shared = Shared {
            address,
            settings,
            dialer,
            connections: cell::RefCell::default(),
            waiters: cell::RefCell::default(),
            dialling: cell::Cell::new(false),
            failures: cell::Cell::new(0),
            resume: cell::Cell::new(None),
            opened: cell::Cell::new(0),
            retired: cell::Cell::new(0),
        };
        Self {
            shared: rc::Rc::new(shared),
        }
    }

    /// The server's address.
    #[must_use]
    pub fn address(&self) -> units::Address {
        self.shared.address
    }

    /// Figures.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let connections = self.shared.connections.borrow();
        Counts {
            open: connections.len(),
            in_flight: connections.iter().map(Connection::in_flight).sum(),
            opened: self.shared.opened.get(),
            retired: self.shared.retired.get(),
        }
    }

    /// Whether a request is on any of its connections.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        let connections = self.shared.connections.borrow();
        connections.iter().any(|one| one.in_flight() > 0)
    }

    /// Closes the connections when no request has been on them for `limit`; returns whether none is
    /// left.
    pub fn close_idle(&self, now: time::Instant, limit: time::Duration) -> bool {
        let mut connections = self.shared.connections.borrow_mut();
        connections.retain(|one| !one.is_closed() && !one.is_idle(now, limit));
        connections.is_empty() && !self.shared.dialling.get()
    }

    /// Sends one request; dropping the future resets its stream.
    ///
    /// # Errors
    /// The failure says what became of the request.
    pub async fn send(
        &self,
        request: http::Request<Feed>,
        patience: Patience,
    ) -> Result<Reply, Failure> {
        let mut request = request;
        for _ in 0..Self::UNSENT_TRIES {
            let connection = self.connection().await?;
            match connection.clone().send(request, patience).await {
                Ok(reply) => return Ok(reply),
                Err(Unanswered::Failed(failure)) => return Err(failure),
                Err(Unanswered::Unsent(unsent)) => {
                    self.retire(&connection);
                    request = *unsent;
                }
            }
        }
        Err(Cause::Unsent.into())
    }

    /// A connection for one more request.
    async fn connection(&self) -> Result<Connection, Failure> {
        let now = time::Instant::now();
        let best = self.shared.best(now);
        let wanted = self.shared.wants_more(best.as_ref(), now);
        if wanted {
            let opened = self.open_another(now);
            if best.is_none() {
                let _ = opened.await;
            }
        }
        let found = best.or_else(|| self.shared.best(time::Instant::now()));
        found.ok_or(Cause::Connect.into())
    }

    /// Starts a dial unless one is under way; the receiver ends with it.
    fn open_another(&self, now: time::Instant) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let resume = self.shared.resume.get();
        let dialling = self.shared.dialling.get();
        if !dialling && resume.is_some_and(|resume| now < resume) {
            return receiver;
        }
        self.shared.waiters.borrow_mut().push(sender);
        if !dialling {
            self.shared.dialling.set(true);
            compio::runtime::spawn(dial(self.shared.clone())).detach();
        }
        receiver
    }

    fn retire(&self, connection: &Connection) {
        let mut connections = self.shared.connections.borrow_mut();
        let before = connections.len();
        connections.retain(|one| !one.is_same(connection));
        let retired = (before - connections.len()) as u64;
        self.shared.retired.set(self.shared.retired.get() + retired);
    }
}

impl Shared {
    /// The open connection with the fewest requests that is not silent.
    fn best(&self, now: time::Instant) -> Option<Connection> {
        let mut connections = self.connections.borrow_mut();
        let before = connections.len();
        connections.retain(|one| !one.is_closed());
        let retired = (before - connections.len()) as u64;
        self.retired.set(self.retired.get() + retired);
        let limit = self.settings.silent_after.0;
        let working = connections.iter().filter(|one| !one.is_silent(now, limit));
        working.min_by_key(|one| one.in_flight()).cloned()
    }

    /// Whether another connection should be opened next to `best`.
    ///
    /// Silent connections do not count against the bound: they are about to be retired, and the
    /// server has lost them already.
    fn wants_more(&self, best: Option<&Connection>, now: time::Instant) -> bool {
        let Some(best) = best else {
            return true;
        };
        if best.in_flight() < self.settings.streams {
            return false;
        }
        let limit = self.settings.silent_after.0;
        let connections = self.connections.borrow();
        let working = connections.iter().filter(|one| !one.is_silent(now, limit));
        working.count() < self.settings.connections
    }

    fn finish(&self, opened: Option<Connection>) {
        match opened {
            Some(connection) => {
                self.connections.borrow_mut().push(connection);
                self.opened.set(self.opened.get() + 1);
                self.failures.set(0);
                self.resume.set(None);
            }
            None => self.back_off(),
        }
        self.dialling.set(false);
        for waiter in self.waiters.take() {
            let _ = waiter.send(());
        }
    }

    fn back_off(&self) {
        let failures = self.failures.get().saturating_add(1);
        self.failures.set(failures);
        let limit = self.settings.dial_backoff.0;
        let wait = Dialer::backoff(failures, limit, &mut rand::rng());
        self.resume.set(Some(time::Instant::now() + wait));
    }
}

/// Opens one connection within the cap and tells those who wait.
async fn dial(shared: rc::Rc<Shared>) {
    let wait = shared.dialer.reserve(time::Instant::now());
    if !wait.is_zero() {
        compio::time::sleep(wait).await;
    }
    let limit = shared.settings.connect_timeout.0;
    let opening = Connection::open(shared.address, &shared.settings);
    let opened = match compio::time::timeout(limit, opening).await {
        Ok(Ok(connection)) => Some(connection),
        Ok(Err(error)) => {
            log::debug!(address:% = shared.address, error:% = error; "dial failed");
            None
        }
        Err(_) => None,
    };
    shared.finish(opened);
}
