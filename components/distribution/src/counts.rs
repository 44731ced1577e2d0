//! Counters of the distribution service.

use serde::Serialize;

units::record! { eq:
    /// Counters since the start of the process.
    #[derive(Copy, Default, Serialize)]
    pub struct Counts {
        /// Messages sent to other nodes, both requests and replies.
        pub sent: u64,
        /// Bytes of the messages sent, excluding the envelope of the peer component.
        pub sent_bytes: u64,
        /// Messages received from other nodes, both requests and replies.
        pub received: u64,
        /// Bytes of the messages received, excluding the envelope of the peer component.
        pub received_bytes: u64,
        /// Calls to other nodes that got no reply.
        pub failed: u64,
        /// Entries applied one by one.
        pub entries: u64,
        /// Checkpoints applied.
        pub checkpoints: u64,
        /// Entries received that were already applied.
        pub duplicates: u64,
        /// Entries and checkpoints that were refused because validation failed.
        pub refused: u64,
        /// Checkpoint parts sent.
        pub parts: u64,
        /// Requests for checkpoint parts that were answered with a request to retry later.
        pub busy: u64,
        /// Changes accepted by this node.
        pub accepted: u64,
        /// Entries written by this node; each contains one or more accepted changes.
        pub written: u64,
        /// Writes of entries that lost a race against another node.
        pub conflicts: u64,
        /// Writes of entries whose response was lost and whose result was read back.
        pub settled: u64,
        /// Checkpoints written to the platform.
        pub archived: u64,
    }

    /// Counters of violated invariants; all are zero in a correct system.
    #[derive(Copy, Default, Serialize)]
    pub struct Violations {
        /// A node announced a lower version than before.
        pub version_fell: u64,
        /// A route referred to a service that is not in the snapshot.
        pub dangling_route: u64,
        /// A change reported as accepted by this node was missing later.
        pub accepted_missing: u64,
        /// Two nodes held different content at the same version.
        pub diverged: u64,
        /// The snapshot in force did not have the version that was put in force.
        pub partial: u64,
    }
}
