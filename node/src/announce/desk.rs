//! Hands announcements to the services that act on them.

use std::time;

use futures_channel::oneshot;
use schema::announce as wire;

use super::Notice;

/// An announcement of the backend server beside the node.
#[derive(Debug)]
pub struct Message {
    /// What it says, checked.
    pub notice: Notice,
    /// The same as it came.
    pub announcement: wire::Announcement,
    /// Takes the time until the next announcement is due.
    pub answer: oneshot::Sender<time::Duration>,
}
