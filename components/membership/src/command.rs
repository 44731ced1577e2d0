//! Commands that other services of the node send to the membership service.

use futures_channel::oneshot;

use crate::{AnnounceReply, Backend};

/// Command sent to the mailbox of the membership service.
#[derive(Debug)]
pub enum Command {
    /// Publishes an announcement of the local backend server and extends its lease.
    Announce {
        /// The announced backend server.
        backend: Backend,
        /// Receives the result of the announcement.
        answer: oneshot::Sender<AnnounceReply>,
    },
    /// Announces that the local backend server gets no new requests from now on.
    Drain {
        /// Notified once the update has been sent its full number of times or the wait has timed out.
        done: oneshot::Sender<()>,
    },
}
