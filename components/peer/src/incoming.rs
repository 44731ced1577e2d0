//! A request from another node and its answer.

use std::time;

use futures_channel::oneshot;
use schema::peer as wire;

/// A request from another node, handed to the service that it names.
#[derive(Debug)]
pub struct Incoming {
    /// The sending node.
    pub from: units::Node,
    /// Encoded message of the service.
    pub payload: Vec<u8>,
    /// Takes the answer; dropped without one, the sender is told to come back.
    pub answer: Answer,
}

/// Takes the answer to one request.
#[derive(Debug)]
pub struct Answer {
    sender: oneshot::Sender<wire::Reply>,
}

impl Answer {
    /// Creates the taker and the receiver of one answer.
    pub fn channel() -> (Self, oneshot::Receiver<wire::Reply>) {
        let (sender, receiver) = oneshot::channel();
        (Self { sender }, receiver)
    }

    /// Answers with an encoded message.
    pub fn send(self, payload: Vec<u8>) {
        self.finish(wire::reply::Status::Ok, payload, 0);
    }

    /// Asks the sender to come back after `wait`.
    pub fn busy(self, wait: time::Duration) {
        let wait = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        self.finish(wire::reply::Status::Busy, Vec::new(), wait);
    }

    /// Says that the request is malformed.
    pub fn invalid(self) {
        self.finish(wire::reply::Status::Invalid, Vec::new(), 0);
    }

    fn finish(self, status: wire::reply::Status, payload: Vec<u8>, retry_after_ms: u32) {
        let reply = wire::Reply {
            status: status.into(),
            payload,
            retry_after_ms,
        };
        // The receiver is gone when the request has timed out.
        let _ = self.sender.send(reply);
    }
}
