//! Counts messages and bytes between nodes.

use std::cell;
use std::rc;

use serde::Serialize;

units::record! { eq:
    /// Messages and bytes of one service; bytes include the envelope and the framing.
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
        /// Requests of this node that ended without an answer.
        pub failed: u64,
    }

    /// Traffic of one service, by its name.
    #[derive(Serialize)]
    pub struct Counts {
        /// Name of the service.
        pub service: &'static str,
        /// Its traffic since the start of the process.
        pub traffic: Traffic,
    }
}

/// Counts messages and bytes by service; clones share the counters.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    /// Sorted by service.
    entries: rc::Rc<cell::RefCell<Vec<Counts>>>,
}

impl Meter {
    /// Bytes around an encoded message: NNG's request id (4) and length (8) on TCP.
    pub const FRAMING_BYTES: u64 = 12;

    /// Counts a message of `bytes` that was sent.
    pub fn add_sent(&self, service: &'static str, bytes: usize) {
        self.change(service, |traffic| {
            traffic.sent += 1;
            traffic.sent_bytes += bytes as u64 + Self::FRAMING_BYTES;
        });
    }

    /// Counts a message of `bytes` that was received.
    pub fn add_received(&self, service: &'static str, bytes: usize) {
        self.change(service, |traffic| {
            traffic.received += 1;
            traffic.received_bytes += bytes as u64 + Self::FRAMING_BYTES;
        });
    }

    /// Counts a request that ended without an answer.
    pub fn add_failed(&self, service: &'static str) {
        self.change(service, |traffic| traffic.failed += 1);
    }

    /// The counters of all services, sorted by name.
    #[must_use]
    pub fn counts(&self) -> Vec<Counts> {
        self.entries.borrow().clone()
    }

    /// The counters of all services together.
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

    fn change(&self, service: &'static str, change: impl FnOnce(&mut Traffic)) {
        let mut entries = self.entries.borrow_mut();
        let place = match entries.binary_search_by_key(&service, |entry| entry.service) {
            Ok(place) => place,
            Err(place) => {
                let traffic = Traffic::default();
                entries.insert(place, Counts { service, traffic });
                place
            }
        };
        change(&mut entries[place].traffic);
    }
}
