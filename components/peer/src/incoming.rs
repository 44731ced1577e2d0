//! Requests received from other nodes, and their answers.

use std::time;

use futures_channel::oneshot;
use schema::peer as wire;

/// Request from another node, delivered to the service that it names.
#[derive(Debug)]
pub struct Incoming {
    /// The sending node.
    pub from: units::Node,
    /// Encoded message for the service.
    pub payload: Vec<u8>,
    /// Sender of the answer; if dropped unused, the requesting node gets a busy reply and may retry later.
    pub answer: Answer,
}

/// Sender of the answer to one request.
#[derive(Debug)]
pub struct Answer {
    sender: oneshot::Sender<wire::Reply>,
}

impl Answer {
    /// Creates the sending and the receiving half for one answer.
    pub fn channel() -> (Self, oneshot::Receiver<wire::Reply>) {
        let (sender, receiver) = oneshot::channel();
        (Self { sender }, receiver)
    }

    /// Answers with an encoded message.
    pub fn send(self, payload: Vec<u8>) {
        self.send_reply(wire::reply::Status::Ok, payload, 0);
    }

    /// Answers that the service is busy and that the sender may retry after `retry_after`.
    pub fn busy(self, retry_after: time::Duration) {
        let retry_after = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
        self.send_reply(wire::reply::Status::Busy, Vec::new(), retry_after);
    }

    /// Answers that the request is malformed.
    pub fn invalid(self) {
        self.send_reply(wire::reply::Status::Invalid, Vec::new(), 0);
    }

    fn send_reply(self, status: wire::reply::Status, payload: Vec<u8>, retry_after_ms: u32) {
        let reply = wire::Reply {
            status: status.into(),
            payload,
            retry_after_ms,
        };
        // The receiver is already dropped if the request has timed out.
        let _ = self.sender.send(reply);
    }
}
