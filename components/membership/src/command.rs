//! Requests of other services of the node to the membership service.

use futures_channel::oneshot;
use schema::announce;

/// A request to the membership service; it is sent through its mailbox.
#[derive(Debug)]
pub enum Command {
    /// Takes an announcement of the backend server beside this node.
    Announce {
        /// The announcement.
        announcement: announce::Announcement,
        /// Takes the lease, or what is wrong with the announcement.
        answer: oneshot::Sender<Result<announce::Acknowledgement, units::Error>>,
    },
    /// Announces that the backend server beside this node gets no new requests from now on.
    Drain {
        /// Told once the news was sent as often as it is going to be.
        done: oneshot::Sender<()>,
    },
}
