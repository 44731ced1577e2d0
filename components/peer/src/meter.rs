//! Counters for messages and bytes between nodes.

use std::cell;
use std::rc;

use serde::Serialize;

units::record! { eq:
    /// Message and byte counts of one service; bytes include the envelope and the framing.
    #[derive(Default, Copy, Serialize)]
    pub struct Traffic {
        /// Messages sent.
        pub sent: u64,
        /// Bytes sent.
        pub sent_bytes: u64,
        /// Messages received.
        pub received: u64,
        /// Bytes received.
        pub received_bytes: u64,
        /// Requests sent by this node that received no answer.
        pub failed: u64,
    }

    /// Traffic of one named service.
    #[derive(Serialize)]
    pub struct Counts {
        /// Name of the service.
        pub service: &'static str,
        /// Traffic of the service since the process started.
        pub traffic: Traffic,
    }
}

/// Message and byte counters per service; clones share the counters.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    /// Sorted by service.
    entries: rc::Rc<cell::RefCell<Vec<Counts>>>,
}

impl Meter {
    /// Overhead of an encoded message on TCP in bytes: NNG's request id (4) and length prefix (8).
    pub const FRAMING_BYTES: u64 = 12;

    /// Counts a sent message of `bytes`.
    pub fn add_sent(&self, service: &'static str, bytes: usize) {
        self.update(service, |traffic| {
            traffic.sent += 1;
            traffic.sent_bytes += bytes as u64 + Self::FRAMING_BYTES;
        });
    }

    /// Counts a received message of `bytes`.
    pub fn add_received(&self, service: &'static str, bytes: usize) {
        self.update(service, |traffic| {
            traffic.received += 1;
            traffic.received_bytes += bytes as u64 + Self::FRAMING_BYTES;
        });
    }

    /// Counts a request that received no answer.
    pub fn add_failed(&self, service: &'static str) {
        self.update(service, |traffic| traffic.failed += 1);
    }

    /// Counters of each service, sorted by name.
    #[must_use]
    pub fn counts(&self) -> Vec<Counts> {
        self.entries.borrow().clone()
    }

    /// Sum of the counters of all services.
    #[must_use]
    pub fn total(&self) -> Traffic {
        let mut total = Traffic::default();
        for entry in self.entries.borrow().iter() {
            total.sent += entry.traffic.sent;
            total.sent_bytes += entry.traffic.sent_bytes;
            total.received += entry.traffic.received;
            total.received_bytes += entry.traffic.received_bytes;
            total.failed += entry.traffic.failed;
        }
        total
    }

    fn update(&self, service: &'static str, update: impl FnOnce(&mut Traffic)) {
        let mut entries = self.entries.borrow_mut();
        let index = match entries.binary_search_by_key(&service, |entry| entry.service) {
            Ok(index) => index,
            Err(index) => {
                let traffic = Traffic::default();
                entries.insert(index, Counts { service, traffic });
                index
            }
        };
        update(&mut entries[index].traffic);
    }
}
