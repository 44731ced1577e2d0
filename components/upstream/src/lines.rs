//! HTTP/1.1 connections to one server.

use std::cell;
use std::rc;
use std::time;

use crate::line::Line;
use crate::pool::Counts;
use crate::{Cause, Dialer, Failure, Feed, Lease, Reply, Sending, Settings};

/// HTTP/1.1 connections to one server, each with one request at a time; clones share them.
#[derive(Clone)]
pub struct Lines {
    shared: rc::Rc<Shared>,
}

pub(crate) struct Shared {
    address: units::Address,
    settings: rc::Rc<Settings>,
    dialer: Dialer,
    /// Idle connections, the most recently used one last.
    idle: cell::RefCell<Vec<Line>>,
    /// Connections that are open or being opened.
    open: rc::Rc<cell::Cell<usize>>,
    busy: cell::Cell<usize>,
    opened: cell::Cell<u64>,
    retired: cell::Cell<u64>,
}

/// A connection while a request or its answer is on it.
pub(crate) struct Busy {
    shared: rc::Rc<Shared>,
    line: Option<Line>,
}

impl Busy {
    fn new(shared: rc::Rc<Shared>, line: Line) -> Self {
        shared.busy.set(shared.busy.get() + 1);
        Self {
            shared,
            line: Some(line),
        }
    }

    /// Closes the connection instead of returning it to the pool.
    pub(crate) fn retire(mut self) {
        self.line = None;
        let retired = &self.shared.retired;
        retired.set(retired.get() + 1);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.line.as_ref().is_none_or(Line::is_closed)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.shared.busy.set(self.shared.busy.get() - 1);
        // A connection whose answer was not read to its end closes itself, and is never ready.
        if let Some(mut line) = self.line.take() {
            line.used = time::Instant::now();
            self.shared.idle.borrow_mut().push(line);
        }
    }
}

impl Lines {
    /// Attempts to find a connection that takes the request before any byte of it is sent.
    const UNSENT_TRIES: usize = 3;

    /// Creates a pool for `address` without connections.
    #[must_use]
    pub fn new(address: units::Address, settings: rc::Rc<Settings>, dialer: Dialer) -> Self {
        let shared = Shared {
            address,
            settings,
            dialer,
            idle: cell::RefCell::default(),
            open: rc::Rc::default(),
            busy: cell::Cell::default(),
            opened: cell::Cell::default(),
            retired: cell::Cell::default(),
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

    /// Counters.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts {
            open: self.shared.open.get(),
            in_flight: self.shared.busy.get(),
            opened: self.shared.opened.get(),
            retired: self.shared.retired.get(),
        }
    }

    /// Whether the server still takes connections after one of them broke.
    ///
    /// Other connections prove nothing: their end may be seen later than the crash. The new one takes
    /// the place of the one that broke.
    pub async fn is_up(&self) -> bool {
        /// Time in which a server that ends closes its listener.
        const SETTLE: time::Duration = time::Duration::from_millis(5);
        compio::time::sleep(SETTLE).await;
        let Some(line) = self.shared.dial().await else {
            return false;
        };
        self.shared.idle.borrow_mut().push(line);
        true
    }

    /// Closes the connections that the server may close soon.
    pub fn close_stale(&self, now: time::Instant) {
        self.shared.close_stale(now);
    }

    /// Sends one request; dropping the future closes its connection.
    ///
    /// # Errors
    /// The failure contains the outcome of the request.
    pub async fn send(&self, request: http::Request<Feed>) -> Result<Reply, Failure> {
        let mut request = request;
        for _ in 0..Self::UNSENT_TRIES {
            let mut busy = self.take(Sending::of(&request)).await?;
            let Some(line) = busy.line.as_mut() else {
                continue;
            };
            let is_first = line.is_new();
            match line.send(request).await {
                Ok(response) => {
                    let lease = Lease::of_line(busy);
                    return Ok(Reply {
                        response,
                        lease,
                        is_first,
                    });
                }
                Err(mut error) => {
                    busy.retire();
                    match error.take_message() {
                        Some(unsent) => request = unsent,
                        None => return Err(Cause::of(error.error()).into()),
                    }
                }
            }
        }
        Err(Cause::Unsent.into())
    }

    /// An idle connection, or a new one, for a request.
    async fn take(&self, sending: Option<&Sending>) -> Result<Busy, Failure> {
        let shared = &self.shared;
        let now = time::Instant::now();
        shared.close_stale(now);
        if let Some(line) = shared.take_idle(now, sending) {
            return Ok(Busy::new(shared.clone(), line));
        }
        if shared.open.get() >= shared.settings.connections {
            return Err(Cause::Connect.into());
        }
        let wait = shared.dialer.reserve(now);
        if !wait.is_zero() {
            compio::time::sleep(wait).await;
        }
        let line = shared.dial().await.ok_or(Cause::Connect)?;
        Ok(Busy::new(shared.clone(), line))
    }
}

impl Shared {
    /// Opens a connection; `None` where that fails.
    async fn dial(&self) -> Option<Line> {
        let opening = Line::open(self.address, self.open.clone());
        let opened = compio::time::timeout(self.settings.connect_timeout.0, opening).await;
        let line = opened.ok()?.inspect_err(|error| {
            log::debug!(address:% = self.address, error:% = error; "dial failed");
        });
        let line = line.ok()?;
        self.opened.set(self.opened.get() + 1);
        Some(line)
    }

    /// Returns the most recently used connection that can take a request.
    fn take_idle(&self, now: time::Instant, sending: Option<&Sending>) -> Option<Line> {
        let mut idle = self.idle.borrow_mut();
        let is_free = |line: &Line| line.is_ready(now) && !line.has_carried(sending);
        let place = idle.iter().rposition(is_free)?;
        Some(idle.remove(place))
    }

    fn close_stale(&self, now: time::Instant) {
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|line| !line.is_stale(now));
        let retired = (before - idle.len()) as u64;
        self.retired.set(self.retired.get() + retired);
    }
}
