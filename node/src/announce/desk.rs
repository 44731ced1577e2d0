//! Hands announcements to the services that act on them.

use std::rc;
use std::time;

use admission::{Announced, Gate};
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

/// Hands announcements to the gate of the backend server and to the membership.
pub struct Desk {
    inbox: kernel::Inbox<Message>,
    gate: rc::Rc<Gate>,
    members: kernel::Mailbox<membership::Command>,
    lease: time::Duration,
}

impl Desk {
    /// Hands what arrives in `inbox` to `gate` and `members`.
    ///
    /// A backend server that is silent for `lease` is taken for gone.
    #[must_use]
    pub fn new(
        inbox: kernel::Inbox<Message>,
        gate: rc::Rc<Gate>,
        members: kernel::Mailbox<membership::Command>,
        lease: time::Duration,
    ) -> Self {
        Self {
            inbox,
            gate,
            members,
            lease,
        }
    }

    async fn take(&self, message: Message) {
        let announced = Announced {
            address: message.notice.address,
            backend: message.notice.backend,
        };
        self.gate.announce(Some(&announced));
        let (answer, acknowledged) = oneshot::channel();
        let announcement = message.announcement;
        let command = membership::Command::Announce {
            announcement,
            answer,
        };
        if let Err(error) = self.members.send(command) {
            // The sender sees a dropped answer and announces again.
            log::warn!(error:% = error; "announcement not handed on");
            return;
        }
        match acknowledged.await {
            Ok(Ok(acknowledgement)) => {
                let due = time::Duration::from_millis(acknowledgement.lease_ms.into());
                let _ = message.answer.send(due);
            }
            Ok(Err(error)) => log::warn!(error:% = error; "announcement refused"),
            Err(_) => log::debug!("the membership has stopped"),
        }
    }
}

impl kernel::Service for Desk {
    const NAME: &'static str = "announce";

    async fn run(mut self, stop: kernel::Stop) {
        loop {
            let received = compio::time::timeout(self.lease, self.inbox.receive());
            match stop.guard(received).await {
                Some(Ok(Some(message))) => self.take(message).await,
                Some(Err(_)) => self.gate.announce(None),
                Some(Ok(None)) | None => return,
            }
        }
    }
}
