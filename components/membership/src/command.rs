//! Requests of other services of the node to the membership service.

use futures_channel::oneshot;

use crate::{Backend, Taken};

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
