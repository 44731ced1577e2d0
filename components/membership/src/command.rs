//! Requests of other services of the node to the membership service.

use std::time;

use futures_channel::oneshot;

use crate::Backend;

/// What became of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Taken {
    /// Time until the next announcement is due.
    pub due: time::Duration,
    /// Whether other nodes had heard from an earlier start of this node that this start of the backend
    /// server leaves; it stays so, whatever it announces.
    pub departed: bool,
}

/// A request to the membership service; it is sent through its mailbox.
#[derive(Debug)]
pub enum Command {
    /// Takes what the backend server beside this node announced, and extends its lease.
    Announce {
        /// The backend server as it announced itself.
        backend: Backend,
        /// Takes what became of it.
        answer: oneshot::Sender<Taken>,
    },
    /// Announces that the backend server beside this node gets no new requests from now on.
    Drain {
        /// Told once the news was sent as often as it is going to be.
        done: oneshot::Sender<()>,
    },
}
