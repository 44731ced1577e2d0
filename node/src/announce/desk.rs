//! Hands announcements to the services that act on them.

use std::time;

use admission::Announced;
use futures_channel::oneshot;

use super::Notice;
use crate::call::{Dialect, Native, Owner};

/// An announcement of the backend server beside the node.
#[derive(Debug)]
pub struct Message {
    /// What it says, checked.
    pub notice: Notice,
    /// Takes the time until the next announcement is due.
    pub answer: oneshot::Sender<time::Duration>,
}

/// Hands announcements to the request path and to the membership.
pub struct Desk<L, D = Native> {
    inbox: kernel::Inbox<Message>,
    owner: Owner<L, D>,
    members: kernel::Mailbox<membership::Command>,
    lease: time::Duration,
}

impl<L: peer::Link, D: Dialect> Desk<L, D> {
    /// Hands what arrives in `inbox` to `owner` and `members`.
    ///
    /// A backend server that is silent for `lease` is taken for gone.
    #[must_use]
    pub fn new(
        inbox: kernel::Inbox<Message>,
        owner: Owner<L, D>,
        members: kernel::Mailbox<membership::Command>,
        lease: time::Duration,
    ) -> Self {
        Self {
            inbox,
            owner,
            members,
            lease,
        }
    }

    async fn take(&self, message: Message) {
        let announced = Announced {
            id: message.notice.id,
            address: message.notice.address,
            backend: message.notice.backend,
        };
        self.owner.announce(Some(&announced));
        let (answer, acknowledged) = oneshot::channel();
        let backend = announced.backend;
        let command = membership::Command::Announce { backend, answer };
        if let Err(error) = self.members.send(command) {
            // The sender sees a dropped answer and announces again.
            log::warn!(error:% = error; "announcement not handed on");
            return;
        }
        match acknowledged.await {
            Ok(due) => {
                let _ = message.answer.send(due);
            }
            Err(_) => log::debug!("the membership has stopped"),
        }
    }
}

impl<L: peer::Link, D: Dialect> kernel::Service for Desk<L, D> {
    const NAME: &'static str = "announce";

    async fn run(mut self, stop: kernel::Stop) {
        loop {
            let received = compio::time::timeout(self.lease, self.inbox.receive());
            match stop.guard(received).await {
                Some(Ok(Some(message))) => self.take(message).await,
                Some(Err(_)) => self.owner.announce(None),
                Some(Ok(None)) | None => return,
            }
        }
    }
}
