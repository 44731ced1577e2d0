//! A crash of a backend server.

use schema::admission as wire;
use serde::Serialize;

units::record! { eq:
    /// Crash of a backend server, identified by its start, which can crash only once.
    #[derive(Serialize)]
    pub struct Crash {
        /// Node beside the backend server.
        pub node: units::Node,
        /// Random number that the backend server drew at its start.
        pub instance: u64,
        /// Whether the suspect ran alone at the time of the crash.
        pub alone: bool,
    }
}

impl Crash {
    /// Whether both crashes are of the same start of the same backend server.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.node == other.node && self.instance == other.instance
    }

    /// Decodes the wire format; `None` when the node id is invalid.
    #[must_use]
    pub fn decode(wire: &wire::Crash) -> Option<Self> {
        Some(Self {
            node: wire.node.parse().ok()?,
            instance: wire.instance,
            alone: wire.alone,
        })
    }

    /// Encodes into the wire format.
    #[must_use]
    pub fn encode(&self) -> wire::Crash {
        wire::Crash {
            node: self.node.to_string(),
            instance: self.instance,
            alone: self.alone,
        }
    }
}
