//! Settings of the stand-in.

use std::path;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::Faults;

units::record! {
    /// Settings of one backend server.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Settings {
        /// Address for requests; port 0 takes a free one.
        pub listen: units::Address,
        /// Address that it announces, such as that of a relay; without it the bound one.
        #[serde(default)]
        pub advertise: Option<units::Address>,
        /// Address of the node's port for announcements; without it nothing is announced.
        #[serde(default)]
        pub announce: Option<units::Address>,
        /// Address of the port for the record, the counts and the faults.
        #[serde(default)]
        pub control: Option<units::Address>,
        /// Service that it belongs to.
        pub service: units::Service,
        /// Version of the service that it runs.
        #[schemars(with = "String")]
        pub version: CompactString,
        /// Requests that it runs at a time.
        #[serde(default = "default_slots")]
        pub slots: u32,
        /// Connections that it accepts.
        #[serde(default = "default_connections")]
        pub connections: u32,
        /// Least severe level of the log.
        #[serde(default)]
        pub log_level: telemetry::Level,
        /// How it behaves just after its start.
        #[serde(default)]
        pub cold_start: ColdStart,
        /// Time that a request takes.
        #[serde(default)]
        pub service_time: ServiceTime,
        /// Time from the announcement that it is leaving to the end of its listener.
        #[serde(default = "default_drain")]
        pub drain: units::Period,
        /// Faults from the start on; the control port changes them.
        #[serde(default)]
        pub faults: Faults,
        /// File that every start and end of a request is appended to.
        #[serde(default)]
        pub record_file: Option<path::PathBuf>,
        /// Requests that the record keeps in memory; earlier ones stay in the file only.
        #[serde(default = "default_record_limit")]
        pub record_limit: usize,
        /// Seed of service times and of partial faults.
        #[serde(default)]
        pub seed: u64,
    }

    /// Behaviour just after the start.
    #[derive(Default, Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields, default)]
    pub struct ColdStart {
        /// Time in phase `starting`.
        pub starting: units::Period,
        /// Requests that are slow once it is ready.
        pub slow_requests: u32,
        /// What those take longer.
        pub slow_by: units::Period,
    }

    /// Time that a request takes.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields, default)]
    pub struct ServiceTime {
        /// Shape of the distribution.
        pub distribution: Distribution,
        /// Its mean.
        pub mean: units::Period,
    }
}

/// Shape of the distribution of service times.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Distribution {
    /// Always the mean.
    #[default]
    Fixed,
    /// Exponential.
    Exponential,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            distribution: Distribution::Fixed,
            mean: units::Period::from_millis(1),
        }
    }
}

fn default_slots() -> u32 {
    20
}

fn default_connections() -> u32 {
    120
}

fn default_drain() -> units::Period {
    units::Period::from_secs(3)
}

fn default_record_limit() -> usize {
    200_000
}

impl settings::Document for Settings {
    fn check(&self, findings: &mut settings::Findings) {
        if self.slots == 0 {
            findings.add("/slots", "no slots", "at least 1");
        }
        if self.connections == 0 {
            findings.add("/connections", "no connections", "at least 1");
        }
        if self.version.parse::<units::Service>().is_err() {
            let problem = format!("`{}` is not a valid version name", self.version);
            let expected = "1 to 128 letters, digits, `-`, `_` or `.`";
            findings.add("/version", problem, expected);
        }
        self.faults.check("/faults", findings);
    }
}
