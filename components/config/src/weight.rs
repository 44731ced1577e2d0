//! Share of a service's traffic that one of its versions gets.

use compact_str::CompactString;
use schema::config as wire;
use serde::{Deserialize, Serialize};

use crate::Findings;

units::record! {
    /// A version of a service and its share of the traffic.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Weight {
        /// Name of the version, as backend servers announce it.
        #[schemars(with = "String")]
        pub version: CompactString,
        /// Its share of the service's traffic.
        pub share: units::Share,
    }
}

impl Weight {
    /// Reads the wire form; a share above the whole is a finding at `place`.
    pub(crate) fn decode(wire: &wire::Weight, place: &str, findings: &mut Findings) -> Self {
        let share = units::Share::from_parts(wire.share);
        if share.is_none() {
            let problem = format!("the share of {} parts is above the whole", wire.share);
            findings.add(format!("{place}/share"), problem, "at most 10000 parts");
        }
        Self {
            version: wire.version.as_str().into(),
            share: share.unwrap_or_default(),
        }
    }

    pub(crate) fn encode(&self) -> wire::Weight {
        wire::Weight {
            version: self.version.to_string(),
            share: self.share.parts(),
        }
    }
}
