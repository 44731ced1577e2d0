//! Settings of a node.

use compact_str::CompactString;
use serde::Deserialize;
use settings::Findings;

use crate::{call, clients};

/// Settings of a node.
#[derive(Debug, Clone, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Id of the node, unique in the mesh and stable over restarts.
    pub node: units::Node,
    /// Data centre that it runs in.
    pub data_centre: units::DataCentre,
    /// Region of the data centre.
    pub region: units::DataCentre,
    /// Where callers send requests by HTTP/1.1 or HTTP/2.
    pub callers: units::Address,
    /// Where other nodes send requests by HTTP/2.
    pub mesh: units::Address,
    /// Where other nodes send control messages by NNG.
    pub peer: units::Address,
    /// Where operators call by gRPC.
    pub operator: units::Address,
    /// Where the backend server beside the node announces itself by gRPC.
    pub announce: units::Address,
    /// Where metrics, health, readiness and the state dump are served by HTTP.
    pub admin: units::Address,
    /// Object API of the platform.
    pub platform: units::Address,
    /// Peer addresses of other nodes, beside those that the platform's seed objects name.
    #[serde(default)]
    pub seeds: Vec<units::Address>,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log_level: telemetry::Level,
    /// Token that operators send; the environment variable `RADISHGAP_OPERATOR_TOKEN` goes before it.
    #[serde(default)]
    #[schemars(with = "String")]
    pub operator_token: CompactString,
    /// Connections of callers at a time, and as many of other nodes.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// What callers may hold.
    #[serde(default)]
    pub clients: clients::Settings,
    /// Use of the platform.
    #[serde(default)]
    pub store: platform::Settings,
    /// Connections between nodes for control messages.
    #[serde(default)]
    pub peers: peer::Settings,
    /// Membership.
    #[serde(default)]
    pub membership: membership::Settings,
    /// Distribution of the configuration.
    #[serde(default)]
    pub distribution: distribution::Settings,
    /// Moves.
    #[serde(default)]
    pub moves: moves::Settings,
    /// Request path.
    #[serde(default)]
    pub requests: call::Settings,
}

fn default_connections() -> usize {
    4_096
}

impl Settings {
    /// Shortest token that operators may use, in bytes.
    const TOKEN_BYTES: usize = 8;
    /// Environment variable with the operators' token.
    pub const TOKEN_VARIABLE: &'static str = "RADISHGAP_OPERATOR_TOKEN";

    /// The page `docs/SETTINGS.md`: every setting with its default, from the code's own schema.
    #[must_use]
    pub fn reference() -> String {
        let table = settings::reference::<Self>();
        format!(
            "# Settings of a node\n\nA place is a JSON pointer into the settings file. \
             `cargo run -p radishgap-node --example reference` writes this page.\n\n{table}"
        )
    }

    /// The token that operators send; the environment goes before the file.
    #[must_use]
    pub fn token(&self) -> CompactString {
        match std::env::var(Self::TOKEN_VARIABLE) {
            Ok(token) => token.into(),
            Err(_) => self.operator_token.clone(),
        }
    }

    /// What the node says of itself to others.
    #[must_use]
    pub fn identity(&self) -> membership::Identity {
        membership::Identity {
            node: self.node.clone(),
            data_centre: self.data_centre.clone(),
            region: self.region.as_str().into(),
            peer_address: self.peer,
            mesh_address: self.mesh,
        }
    }

    /// The addresses that the node listens on, with the names of their settings.
    fn listeners(&self) -> [(&'static str, units::Address); 6] {
        [
            ("/admin", self.admin),
            ("/announce", self.announce),
            ("/callers", self.callers),
            ("/mesh", self.mesh),
            ("/operator", self.operator),
            ("/peer", self.peer),
        ]
    }
}

impl settings::Document for Settings {
    fn check(&self, findings: &mut Findings) {
        let listeners = self.listeners();
        for (index, (place, address)) in listeners.iter().enumerate() {
            let earlier = &listeners[..index];
            if let Some((other, _)) = earlier.iter().find(|other| other.1 == *address) {
                let problem = format!("{address} is taken by {other}");
                findings.add(*place, problem, "an address of its own for each listener");
            }
        }
        for (place, address) in [("/mesh", self.mesh), ("/peer", self.peer)] {
            if address.0.ip().is_unspecified() {
                let problem = format!("other nodes cannot reach {address}");
                findings.add(place, problem, "the IP address that other nodes use");
            }
        }
        if self.token().len() < Self::TOKEN_BYTES {
            let expected = "a token of at least 8 bytes here or in RADISHGAP_OPERATOR_TOKEN";
            findings.add("/operator_token", "it is missing or too short", expected);
        }
        self.clients.check("/clients", findings);
        self.store.check("/store", findings);
        self.membership.check("/membership", findings);
        self.distribution.check("/distribution", findings);
        self.moves.check("/moves", findings);
    }
}
