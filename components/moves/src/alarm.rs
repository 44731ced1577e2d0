//! Alarms, which withhold the new version of a move.

use compact_str::CompactString;
use schema::moves as wire;

use crate::Id;

units::record! { eq:
    /// Report that the new version of a running move is bad and gets no more traffic.
    #[derive(serde::Serialize)]
    pub struct Alarm {
        /// The move.
        pub id: Id,
        /// The new version.
        pub version: CompactString,
        /// Observed fault.
        pub reason: CompactString,
        /// Node that raised the alarm.
        pub node: CompactString,
        /// Time at which the alarm was raised.
        pub raised: units::Wall,
    }
}

impl Alarm {
    /// The wire form.
    #[must_use]
    pub fn encode(&self) -> wire::Alarm {
        wire::Alarm {
            r#move: self.id.to_string(),
            service: self.id.service().to_owned(),
            version: self.version.to_string(),
            reason: self.reason.to_string(),
            node: self.node.to_string(),
            raised_ms: self.raised.0,
        }
    }

    /// Reads the wire form; `None` when it is malformed.
    #[must_use]
    pub fn decode(wire: &wire::Alarm) -> Option<Self> {
        Some(Self {
            id: wire.r#move.parse().ok()?,
            version: wire.version.as_str().into(),
            reason: wire.reason.as_str().into(),
            node: wire.node.as_str().into(),
            raised: units::Wall(wire.raised_ms),
        })
    }
}
