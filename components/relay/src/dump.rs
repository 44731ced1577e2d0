//! State of the relay in the dump for operators.

use platform::Revision;
use serde::Serialize;

use crate::{Counts, Place};

units::record! { eq:
    /// State of the relay.
    #[derive(Serialize)]
    pub struct Dump {
        /// Whether this node watches the store.
        pub watching: bool,
        /// Position of the node in the order in which nodes watch the store.
        pub place: Place,
        /// Milliseconds since the state was last known to be complete.
        pub age_ms: u64,
        /// Milliseconds since the configuration in force was proven to be complete; `None` if it never was,
        /// or nothing asks for a proof.
        pub certain_age_ms: Option<u64>,
        /// Position of the node whose answer from the store shows that; `None` while there is no evidence.
        pub evidence: Option<Place>,
        /// Newest known revision of each prefix.
        pub heads: Vec<Head>,
        /// Counters since the start.
        pub counts: Counts,
    }

    /// Newest revision that a node knows below a prefix.
    #[derive(Serialize)]
    pub struct Head {
        /// Prefix of the keys.
        pub prefix: &'static str,
        /// Revision of the newest change; `None` until the first read.
        pub revision: Option<Revision>,
    }
}
