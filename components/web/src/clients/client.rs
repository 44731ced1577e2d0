//! The client of one connection.

use std::cell;
use std::future;
use std::ops;
use std::rc;
use std::task;
use std::time;

use super::progress::{Phase, Progress};
use super::registry::State;
use crate::unframed::Ending;

/// The client of one connection, charged with what the connection holds.
pub(crate) struct Client {
    pub(super) id: u64,
    registry: rc::Rc<State>,
    /// Bytes that the connection holds.
    held: cell::Cell<u64>,
    /// The part of them that waits for the client to take it.
    waiting: cell::Cell<u64>,
    /// The part of them that was read and belongs to no request in progress yet.
    ahead: cell::Cell<u64>,
    /// Requests in progress.
    running: cell::Cell<u64>,
    /// Whether the socket takes no more at present.
    blocked: cell::Cell<bool>,
    progress: cell::Cell<Progress>,
    /// Why the connection has to be closed.
    closing: cell::Cell<Option<Cause>>,
    ending: cell::Cell<Ending>,
    /// Whether the connection is closed; what is left of its streams is charged to nobody.
    is_gone: cell::Cell<bool>,
    waker: cell::RefCell<Option<task::Waker>>,
}

/// Why a connection is closed before its client is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The client took less than the least in a period.
    Stuck,
    /// Others need the memory.
    Memory,
    /// Others need the place.
    Place,
}

/// Counts a request as in progress for as long as it lives.
pub(crate) struct Running {
    client: rc::Rc<Client>,
}

impl Client {
    /// Bytes that a connection holds by itself: the buffers of its stream and its task.
    pub(super) const CONNECTION_BYTES: u64 = 20 * 1024;
    /// Bytes that a request in progress holds by itself: the buffers of its server connection and its
    /// state.
    pub(super) const REQUEST_BYTES: u64 = 32 * 1024;

    pub(super) fn new(id: u64, registry: rc::Rc<State>, now: time::Instant) -> Self {
        Self {
            id,
            registry,
            held: cell::Cell::default(),
            waiting: cell::Cell::default(),
            ahead: cell::Cell::default(),
            running: cell::Cell::default(),
            blocked: cell::Cell::default(),
            progress: cell::Cell::new(Progress::new(now)),
            closing: cell::Cell::default(),
            ending: cell::Cell::default(),
            is_gone: cell::Cell::default(),
            waker: cell::RefCell::default(),
        }
    }

    /// Counts a request as in progress.
    pub(crate) fn start(self: &rc::Rc<Self>) -> Running {
        self.running.set(self.running.get() + 1);
        self.hold(Self::REQUEST_BYTES);
        self.update();
        let client = self.clone();
        Running { client }
    }

    /// Whether there is memory for one more request in progress; clients that take little make room for it.
    pub(crate) fn has_room(&self) -> bool {
        self.registry.make_room(Self::REQUEST_BYTES);
        self.has_spare()
    }

    /// Whether there is memory for one more request in progress as it is.
    pub(crate) fn has_spare(&self) -> bool {
        self.registry.has_room(Self::REQUEST_BYTES)
    }

    /// Charges the connection with `bytes`; one that is about to be closed stays as it was charged.
    pub(crate) fn hold(&self, bytes: u64) {
        if self.is_charged() {
            self.held.set(self.held.get() + bytes);
            self.registry.hold(bytes);
        }
    }

    /// Takes `bytes` off the charge; one that is about to be closed stays as it was charged.
    pub(crate) fn release(&self, bytes: u64) {
        if self.is_charged() {
            let bytes = bytes.min(self.held.get());
            self.held.set(self.held.get() - bytes);
            self.registry.release(bytes);
        }
    }

    fn is_charged(&self) -> bool {
        self.closing.get().is_none() && !self.is_gone.get()
    }

    /// The connection is closed and holds nothing any more.
    pub(super) fn leave(&self) {
        self.is_gone.set(true);
        let held = self.held.take();
        self.registry.release(held);
        if self.closing.get().is_some() {
            self.registry.left(held);
        }
    }

    /// Charges the connection with `bytes` that wait for the client from now on.
    pub(crate) fn offer(&self, bytes: u64) {
        self.waiting.set(self.waiting.get() + bytes);
        self.update();
        self.hold(bytes);
    }

    /// Up to `bytes` that were offered wait no longer.
    pub(crate) fn withdraw(&self, bytes: u64) {
        let bytes = bytes.min(self.waiting.get());
        self.waiting.set(self.waiting.get() - bytes);
        self.release(bytes);
        self.update();
    }

    /// The socket has taken `bytes`.
    pub(super) fn take(&self, bytes: usize) {
        let bytes = bytes as u64;
        let mut progress = self.progress.get();
        progress.take(bytes);
        self.progress.set(progress);
        self.withdraw(bytes);
    }

    /// The socket has taken all that the stream had; once no request is in progress nothing else waits, as the
    /// rest was dropped with cancelled streams.
    pub(super) fn flush(&self) {
        self.set_blocked(false);
        if self.running.get() == 0 {
            self.withdraw(u64::MAX);
        }
    }

    /// The socket takes no more at present, or takes more again.
    pub(super) fn set_blocked(&self, blocked: bool) {
        if self.blocked.replace(blocked) != blocked {
            self.update();
        }
    }

    /// Charges the connection with `bytes` that were read and belong to no request in progress yet.
    pub(crate) fn set_ahead(&self, bytes: usize) {
        let bytes = bytes as u64;
        let before = self.ahead.replace(bytes);
        if bytes > before {
            self.hold(bytes - before);
        } else {
            self.release(before - bytes);
        }
    }

    /// How far an answer has come whose end is the close of the connection.
    pub(crate) fn ending(&self) -> Ending {
        self.ending.get()
    }

    pub(crate) fn set_ending(&self, ending: Ending) {
        self.ending.set(ending);
    }

    /// Completes once the connection has to be closed.
    pub(crate) async fn closed(&self) -> Cause {
        future::poll_fn(|context| match self.closing.get() {
            Some(cause) => task::Poll::Ready(cause),
            None => {
                *self.waker.borrow_mut() = Some(context.waker().clone());
                task::Poll::Pending
            }
        })
        .await
    }

    /// Asks for the connection to be closed.
    pub(super) fn close(&self, cause: Cause) {
        self.closing.set(Some(cause));
        self.registry.leave(self.held.get());
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    pub(super) fn is_closing(&self) -> bool {
        self.closing.get().is_some()
    }

    /// Whether a request is in progress, or something waits for the client.
    pub(crate) fn is_served(&self) -> bool {
        self.progress.get().phase() != Phase::Idle
    }

    pub(super) fn progress(&self) -> Progress {
        self.progress.get()
    }

    /// Whether the client has taken too little for a period.
    pub(super) fn is_stuck(&self, now: time::Instant) -> bool {
        let mut progress = self.progress.get();
        let is_stuck = progress.is_stuck(&self.registry.limits, now);
        self.progress.set(progress);
        // On HTTP/2 bytes may also wait for a window, or were dropped with a cancelled stream.
        is_stuck && self.blocked.get()
    }

    fn update(&self) {
        let phase = if self.waiting.get() > 0 || self.blocked.get() {
            Phase::Waiting
        } else if self.running.get() > 0 {
            Phase::Busy
        } else {
            Phase::Idle
        };
        let mut progress = self.progress.get();
        if progress.phase() != phase {
            progress.enter(phase, time::Instant::now());
            self.progress.set(progress);
        }
    }
}

impl ops::Deref for Running {
    type Target = Client;

    fn deref(&self) -> &Client {
        &self.client
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let client = &self.client;
        client.running.set(client.running.get() - 1);
        client.release(Client::REQUEST_BYTES);
        client.update();
    }
}
