//! Settings files of the node and of the platform stand-in.

use serde::Serialize;

/// Settings of `radishgap-platform`.
#[derive(Debug, Clone, Serialize)]
pub struct Platform {
    /// Where it serves the object API.
    pub listen: units::Address,
    /// Its control port.
    pub control: units::Address,
    /// Least severe level of its log.
    pub log_level: telemetry::Level,
    /// Seed of its draws.
    pub seed: u64,
}

/// Settings of `radishgap-node`.
#[derive(Debug, Clone, Serialize)]
pub struct Node {
    /// Id of the node.
    pub node: units::Node,
    /// Its data centre.
    pub data_centre: units::DataCentre,
    /// Its region.
    pub region: units::DataCentre,
    /// Where callers send requests.
    pub callers: units::Address,
    /// Where other nodes send requests.
    pub mesh: units::Address,
    /// Where other nodes send control messages.
    pub peer: units::Address,
    /// Where operators call.
    pub operator: units::Address,
    /// Where the backend server announces itself.
    pub announce: units::Address,
    /// Metrics, health, readiness and state dump.
    pub admin: units::Address,
    /// Object API of the platform.
    pub platform: units::Address,
    /// Peer addresses of other nodes.
    pub seeds: Vec<units::Address>,
    /// Least severe level of its log.
    pub log_level: telemetry::Level,
    /// Token of the operators.
    pub operator_token: String,
    /// Further settings, which single experiments set.
    #[serde(flatten)]
    pub further: serde_json::Map<String, serde_json::Value>,
}
