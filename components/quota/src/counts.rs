//! Counters of quotas.

use serde::Serialize;

units::record! { eq:
    /// Counters of quotas since the start of the process.
    #[derive(Copy, Default, Serialize)]
    pub struct Counts {
        /// Requests that took a token at this ingress.
        pub taken: u64,
        /// Tokens given back by requests that reached no backend server.
        pub given_back: u64,
        /// Requests refused because the quota of their workspace was used.
        pub refused: u64,
        /// Requests refused because no node granted.
        pub unavailable: u64,
        /// Reports sent.
        pub reports: u64,
        /// Reports without a reply.
        pub failed: u64,
        /// Reports received.
        pub received: u64,
        /// Tokens granted to all wallets by this node.
        pub granted: u64,
        /// Terms in which this node granted.
        pub terms: u64,
        /// Messages that could not be decoded.
        pub malformed: u64,
    }
}
