//! Settings of the stand-in.

use findings::Findings;
use serde::{Deserialize, Serialize};

units::record! {
    /// Settings of `radishgap-platform`.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Settings {
        /// Where it serves the object API.
        pub listen: units::Address,
        /// Where it serves faults, counts and its state; without it there is no control port.
        #[serde(default)]
        pub control: Option<units::Address>,
        /// Least severe level that is logged.
        #[serde(default)]
        #[schemars(with = "String")]
        pub log_level: telemetry::Level,
        /// Writes and removes that it takes a second.
        #[serde(default = "default_writes")]
        pub writes: units::Rate,
        /// Reads, lists and watches that it takes a second.
        #[serde(default = "default_reads")]
        pub reads: units::Rate,
        /// Largest value of an object.
        #[serde(default = "default_value_size")]
        pub value_size: units::Size,
        /// Events that it keeps for watches.
        #[serde(default = "default_history")]
        pub history: usize,
        /// Longest time that a watch may wait.
        #[serde(default = "default_watch_wait")]
        pub watch_wait: units::Period,
        /// Seed of the draws that lose answers.
        #[serde(default)]
        pub seed: u64,
    }
}

fn default_writes() -> units::Rate {
    units::Rate(300.0)
}

fn default_reads() -> units::Rate {
    units::Rate(2_000.0)
}

fn default_value_size() -> units::Size {
    units::Size(1024 * 1024)
}

fn default_history() -> usize {
    4_096
}

fn default_watch_wait() -> units::Period {
    units::Period::from_secs(60)
}

impl Settings {
    /// Settings with defaults, serving at `listen`.
    #[must_use]
    pub fn new(listen: units::Address) -> Self {
        Self {
            listen,
            control: None,
            log_level: telemetry::Level::default(),
            writes: default_writes(),
            reads: default_reads(),
            value_size: default_value_size(),
            history: default_history(),
            watch_wait: default_watch_wait(),
            seed: 0,
        }
    }
}

impl settings::Document for Settings {
    fn check(&self, findings: &mut Findings) {
        for (place, rate) in [("/writes", self.writes), ("/reads", self.reads)] {
            if rate.0 < 1.0 {
                findings.add(place, format!("a rate of {rate}"), "at least 1/s");
            }
        }
        if self.history == 0 {
            findings.add("/history", "no history", "at least one event");
        }
        if self.control == Some(self.listen) {
            findings.add(
                "/control",
                "the address of `listen`",
                "an address of its own",
            );
        }
    }
}
