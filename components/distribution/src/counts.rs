//! Counters of the distribution service.

use serde::Serialize;

units::record! { eq:
    /// Counters since the start of the process.
    #[derive(Copy, Default, Serialize)]
    pub struct Counts {
        /// Messages to other nodes, requests and answers.
        pub sent: u64,
        /// Bytes of these messages, without the envelope of the peer component.
        pub sent_bytes: u64,
        /// Messages from other nodes, requests and answers.
        pub received: u64,
        /// Bytes of these messages, without the envelope of the peer component.
        pub received_bytes: u64,
        /// Calls to other nodes that had no answer.
        pub failed: u64,
        /// Entries put in force one by one.
        pub entries: u64,
        /// Checkpoints put in force.
        pub checkpoints: u64,
        /// Entries that arrived although they were held already.
        pub duplicates: u64,
        /// Entries and checkpoints that were refused because they did not check.
        pub refused: u64,
        /// Parts of checkpoints sent.
        pub parts: u64,
        /// Requests for parts of checkpoints that had to come back later.
        pub busy: u64,
        /// Changes accepted by this node.
        pub accepted: u64,
        /// Entries written by this node; each holds one or more accepted changes.
        pub written: u64,
        /// Writes of entries that another node was faster with.
        pub conflicts: u64,
        /// Writes of entries whose answer was lost and read back.
        pub settled: u64,
        /// Checkpoints written to the platform.
        pub archived: u64,
    }

    /// Invariants that were found violated; all zero in a correct system.
    #[derive(Copy, Default, Serialize)]
    pub struct Violations {
        /// A node announced a lower version than one that it had announced before.
        pub version_fell: u64,
        /// A route pointed at a service that is not in the snapshot.
        pub dangling_route: u64,
        /// A change that this node had reported as accepted was missing later.
        pub accepted_missing: u64,
        /// Two nodes held different content at one version.
        pub diverged: u64,
        /// A snapshot in force differed from the version that it was built for.
        pub partial: u64,
    }
}
