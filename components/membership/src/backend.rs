//! The backend server beside a node.

use compact_str::CompactString;
use serde::Serialize;

/// Where a backend server stands in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Cold start: gets no requests yet.
    Starting,
    /// Takes requests.
    Ready,
    /// Leaving: gets no new requests any more.
    Draining,
    /// The node beside it stops: gets no new requests until that is back.
    Stopping,
}

units::record! { eq:
    /// The backend server beside a node, as the mesh knows it.
    #[derive(Serialize)]
    pub struct Backend {
        /// Its service.
        pub service: CompactString,
        /// Its version.
        pub version: CompactString,
        /// Requests that it can run at a time.
        pub slots: u32,
        /// Connections that it accepts.
        pub connections: u32,
        /// Where it stands in its life.
        pub phase: Phase,
        /// Number drawn at its start; a new one means a restart.
        pub instance: u64,
    }
}
