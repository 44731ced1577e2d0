//! Membership record of a node.

use std::cmp;

use serde::Serialize;

use crate::Backend;

/// State of a node as its peers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Responding to probes.
    Alive,
    /// Failed to answer a probe; may still refute the suspicion.
    Suspect,
    /// Failed or unreachable.
    Dead,
    /// Left after a graceful shutdown.
    Left,
}

units::record! { eq:
    /// Membership record of a node.
    #[derive(Serialize)]
    pub struct Member {
        /// Node id.
        pub node: units::Node,
        /// Data centre of the node.
        pub data_centre: units::DataCentre,
        /// Address for control messages.
        pub peer_address: units::Address,
        /// Address for requests from other nodes, over HTTP/2.
        pub mesh_address: units::Address,
        /// Incarnation number; raised only by the member itself.
        pub incarnation: u64,
        /// State of the node.
        pub state: State,
        /// Backend server beside the node, once it has announced itself.
        pub backend: Option<Backend>,
    }
}

impl Member {
    /// Orders two records of the same member by age.
    ///
    /// A higher incarnation is newer; within one incarnation, the worse state is newer. The order is
    /// total, so that merging by the newest record is commutative, associative and idempotent.
    #[must_use]
    pub fn compare(&self, other: &Self) -> cmp::Ordering {
        let incarnation = self.incarnation.cmp(&other.incarnation);
        incarnation
            .then(self.state.cmp(&other.state))
            .then_with(|| self.cmp(other))
    }
}
