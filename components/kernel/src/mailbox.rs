//! Typed, bounded mailboxes.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use futures_channel::mpsc;
use futures_util::StreamExt;

use crate::Error;

/// Sending end of a mailbox; clones share its capacity.
pub struct Mailbox<M> {
    sender: mpsc::UnboundedSender<M>,
    /// Messages that the service has not received yet.
    waiting: Arc<AtomicUsize>,
    capacity: usize,
}

/// Receiving end of a mailbox.
pub struct Inbox<M> {
    receiver: mpsc::UnboundedReceiver<M>,
    waiting: Arc<AtomicUsize>,
}

/// Creates a mailbox that holds about `capacity` messages; senders that race may exceed it by one each.
#[must_use]
pub fn mailbox<M>(capacity: usize) -> (Mailbox<M>, Inbox<M>) {
    let (sender, receiver) = mpsc::unbounded();
    let waiting = Arc::new(AtomicUsize::new(0));
    let mailbox = Mailbox {
        sender,
        waiting: waiting.clone(),
        capacity,
    };
    (mailbox, Inbox { receiver, waiting })
}

impl<M> Clone for Mailbox<M> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
            waiting: self.waiting.clone(),
            capacity: self.capacity,
        }
    }
}

impl<M> Mailbox<M> {
    /// Hands `message` over without waiting.
    ///
    /// # Errors
    /// [`Error::Full`] when the service is behind, [`Error::Closed`] when it has stopped.
    pub fn send(&self, message: M) -> Result<(), Error> {
        self.offer(message).map_err(|(error, _)| error)
    }

    /// Hands `message` over without waiting, and gives it back where that fails.
    ///
    /// # Errors
    /// As of [`Mailbox::send`], with the message.
    pub fn offer(&self, message: M) -> Result<(), (Error, M)> {
        if self.waiting.load(Ordering::Relaxed) >= self.capacity {
            return Err((Error::Full, message));
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        self.sender.unbounded_send(message).map_err(|error| {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            (Error::Closed, error.into_inner())
        })
    }
}

impl<M> Inbox<M> {
    /// Waits for the next message; `None` once every sender is gone.
    pub async fn receive(&mut self) -> Option<M> {
        let message = self.receiver.next().await;
        if message.is_some() {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
        }
        message
    }

    /// Refuses further messages and returns those that wait.
    pub fn close(mut self) -> Vec<M> {
        self.receiver.close();
        let mut waiting = Vec::new();
        while let Ok(message) = self.receiver.try_recv() {
            waiting.push(message);
        }
        waiting
    }
}
