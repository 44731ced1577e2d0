//! Settings of the connections between nodes.

use serde::{Deserialize, Serialize};

/// Settings of the connections between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum number of open connections to other nodes; above it, the least recently used one is closed.
    #[schemars(range(min = 1, max = 4096))]
    pub open_peers: usize,
    /// Maximum number of requests from other nodes that are handled concurrently.
    #[schemars(range(min = 1, max = 1024))]
    pub concurrent_requests: usize,
    /// Maximum size of a message that is sent or accepted.
    pub message_limit: units::Size,
    /// Maximum time that a service may take to answer a request from another node.
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
