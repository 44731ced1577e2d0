//! One node as its peers know it.

use std::cmp;

use serde::Serialize;

use crate::Backend;

/// What is known of a node's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer; it may still refute that.
    Suspect,
    /// It failed or cannot be reached.
    Dead,
    /// It left after a graceful shutdown.
    Left,
}

units::record! { eq:
    /// One node as its peers know it.
    #[derive(Serialize)]
    pub struct Member {
        /// Its id.
        pub node: units::Node,
        /// Its data centre.
        pub data_centre: units::DataCentre,
        /// Where it takes control messages.
        pub peer_address: units::Address,
        /// Where it takes requests from other nodes, by HTTP/2.
        pub mesh_address: units::Address,
        /// Raised by the member itself only.
        pub incarnation: u64,
        /// What is known of its health.
        pub state: State,
        /// The backend server beside it, once one has announced itself.
        pub backend: Option<Backend>,
    }
}

impl Member {
    /// Compares two records of the same member by how new they are.
    ///
    /// A higher incarnation is newer; within one, the worse state is. The order is total, so that
    /// merging by the newest record is commutative, associative and idempotent.
    #[must_use]
    pub fn compare(&self, other: &Self) -> cmp::Ordering {
        let incarnation = self.incarnation.cmp(&other.incarnation);
        incarnation
            .then(self.state.cmp(&other.state))
            .then_with(|| self.cmp(other))
    }
}
