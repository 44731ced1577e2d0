//! Counters of the relay.

use serde::Serialize;

units::record! { eq:
    /// Counters of a relay since its start.
    #[derive(Copy, Default, Serialize)]
    pub struct Counts {
        /// Push messages sent.
        pub pushed: u64,
        /// Pull messages sent.
        pub pulled: u64,
        /// Questions to other nodes how certain their configuration is.
        pub asked: u64,
        /// Reads of the store because no other node could prove enough.
        pub proofs_read: u64,
        /// Push and pull messages that received no answer.
        pub failed: u64,
        /// Messages and parts that could not be decoded.
        pub malformed: u64,
        /// Number of times that this node began to watch the store.
        pub watches: u64,
        /// Reads of the store because another node was known to have a newer revision.
        pub reads: u64,
    }
}
