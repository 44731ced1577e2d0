//! Hands announcements to the services that act on them.

use std::time;

use admission::Announced;
use futures_channel::{mpsc, oneshot};
use futures_util::{StreamExt, future};

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
    /// Word of the owner that the backend server leaves.
    departures: mpsc::UnboundedReceiver<()>,
    /// The backend server as it was last handed on.
    held: Option<Announced>,
}

/// What a desk acts on.
enum Event {
    Message(Box<Message>),
    Departure,
    Closed,
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
        let departures = owner.departures();
        Self {
            inbox,
            owner,
            members,
            lease,
            departures,
            held: None,
        }
    }

    async fn take(&mut self, message: Message) {
        let instance = message.notice.backend.instance;
        self.owner.hear_warmup(instance, message.notice.warmup_left);
        let announced = self.owner.apply_leaving(Announced {
            id: message.notice.id,
            address: message.notice.address,
            backend: message.notice.backend,
        });
        self.owner.announce(Some(&announced));
        let until = time::Instant::now() + self.lease;
        self.owner.gate().expire_at(until);
        self.held = Some(announced);
        // Without an answer the sender sees a dropped one, and announces again.
        if let Some(reply) = self.hand_on().await {
            self.heed(reply);
            let _ = message.answer.send(reply.next_due);
        }
    }

    /// What others know of the backend server from before this start of the node binds its owner, too.
    fn heed(&mut self, reply: membership::AnnounceReply) {
        if let Some(held) = self.held.as_ref().filter(|_| reply.leaving) {
            self.owner.mark_leaving(held.backend.instance);
        }
    }

    /// Tells the membership of the backend server.
    async fn hand_on(&self) -> Option<membership::AnnounceReply> {
        let backend = self.held.clone()?.backend;
        let (answer, acknowledged) = oneshot::channel();
        let command = membership::Command::Announce { backend, answer };
        if let Err(error) = self.members.send(command) {
            log::warn!(error:% = error; "announcement not handed on");
            return None;
        }
        let reply = acknowledged.await.ok();
        if reply.is_none() {
            log::debug!("the membership has stopped");
        }
        reply
    }

    /// The backend server has said in an answer that it leaves; the mesh hears it before the next
    /// announcement.
    async fn leave(&mut self) {
        let held = self.held.take();
        self.held = held.map(|held| self.owner.apply_leaving(held));
        self.hand_on().await;
    }

    async fn next(&mut self) -> Event {
        let received = std::pin::pin!(self.inbox.receive());
        match future::select(received, self.departures.next()).await {
            future::Either::Left((Some(message), _)) => Event::Message(Box::new(message)),
            future::Either::Left((None, _)) => Event::Closed,
            future::Either::Right(_) => Event::Departure,
        }
    }
}

impl<L: peer::Link, D: Dialect> kernel::Service for Desk<L, D> {
    const NAME: &'static str = "announce";

    async fn run(mut self, stop: kernel::Stop) {
        loop {
            let lease = self.lease;
            let received = compio::time::timeout(lease, self.next());
            match stop.guard(received).await {
                Some(Ok(Event::Message(message))) => self.take(*message).await,
                Some(Ok(Event::Departure)) => self.leave().await,
                Some(Err(_)) => self.owner.announce(None),
                Some(Ok(Event::Closed)) | None => return,
            }
        }
    }
}
