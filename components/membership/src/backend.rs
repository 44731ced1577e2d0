//! The backend server beside a node.

use compact_str::CompactString;
use serde::Serialize;

/// Lifecycle phase of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Cold start: receives no requests yet.
    Starting,
    /// Accepts requests.
    Ready,
    /// Leaving: receives no new requests.
    Draining,
    /// The node beside the backend server is stopping: no new requests until that node is back.
    Stopping,
}

units::record! { eq:
    /// Record of the backend server beside a node.
    #[derive(Serialize)]
    pub struct Backend {
        /// Service that the backend server runs.
        pub service: CompactString,
        /// Version of the service.
        pub version: CompactString,
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Maximum number of connections.
        pub connections: u32,
        /// Lifecycle phase.
        pub phase: Phase,
        /// Random number drawn when the process starts; a different number indicates a restart.
        pub instance: u64,
    }
}
