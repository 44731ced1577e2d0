//! Settings of the connections between nodes.

use serde::{Deserialize, Serialize};

/// Settings of the connections between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Connections to other nodes kept open; the least recently used one is closed beyond that.
    #[schemars(range(min = 1, max = 4096))]
    pub open_peers: usize,
    /// Requests of other nodes that are handled at a time.
    #[schemars(range(min = 1, max = 1024))]
    pub concurrent_requests: usize,
    /// Largest message that is sent or accepted.
    pub message_limit: units::Size,
    /// Longest time that a service may take to answer another node.
    pub answer_limit: units::Period,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            open_peers: 64,
            concurrent_requests: 32,
            message_limit: units::Size(2 * 1024 * 1024),
            answer_limit: units::Period::from_secs(10),
        }
    }
}
