//! Part of a route's requests that one service gets.

use compact_str::CompactString;
use schema::config as wire;
use serde::{Deserialize, Serialize};

units::record! {
    /// A service and the part of a route's requests that it gets.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Part {
        /// Name of the service.
        #[schemars(with = "String")]
        pub service: CompactString,
        /// Requests in proportion to the other parts of the route.
        pub weight: u32,
    }
}

impl Part {
    pub(crate) fn decode(wire: &wire::Part) -> Self {
        Self {
            service: wire.service.as_str().into(),
            weight: wire.weight,
        }
    }

    pub(crate) fn encode(&self) -> wire::Part {
        wire::Part {
            service: self.service.to_string(),
            weight: self.weight,
        }
    }
}
