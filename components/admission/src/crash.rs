//! A crash of a backend server.

use schema::admission as wire;
use serde::Serialize;

units::record! { eq:
    /// One start of a backend server, which can crash but once.
    #[derive(Serialize)]
    pub struct Crash {
        /// Node beside the backend server.
        pub node: units::Node,
        /// Number that the backend server drew at its start.
        pub instance: u64,
        /// Whether the suspect ran alone when it happened.
        pub alone: bool,
    }
}

impl Crash {
    /// Whether both are of the same start of the same backend server.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.node == other.node && self.instance == other.instance
    }

    /// Reads the wire form; `None` when the node is not a valid id.
    #[must_use]
    pub fn decode(wire: &wire::Crash) -> Option<Self> {
        Some(Self {
            node: wire.node.parse().ok()?,
            instance: wire.instance,
            alone: wire.alone,
        })
    }

    /// The wire form.
    #[must_use]
    pub fn encode(&self) -> wire::Crash {
        wire::Crash {
            node: self.node.to_string(),
            instance: self.instance,
            alone: self.alone,
        }
    }
}
