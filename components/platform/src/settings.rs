//! Settings of the client.

use findings::Findings;
use serde::{Deserialize, Serialize};

units::record! {
    /// A node's use of the platform.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields, default)]
    pub struct Settings {
        /// Longest time for one call; a watch has its wait on top.
        pub timeout: units::Period,
        /// Writes that this node may send a second, as its share of what the platform takes.
        pub writes: units::Rate,
        /// Reads, lists and watches that this node may send a second, as its share.
        pub reads: units::Rate,
        /// Calls of each sort that may be sent at once after a pause.
        pub burst: u32,
        /// Longest time that a call waits for our own limit before it is refused unsent.
        pub queue: units::Period,
        /// Failed calls in a row that open the circuit breaker.
        pub breaker_failures: u32,
        /// Longest time that the circuit breaker stays open before it tests the platform.
        pub breaker_wait: units::Period,
        /// Writes a second that the platform takes from all nodes together.
        pub platform_writes: units::Rate,
        /// Reads a second that the platform takes from all nodes together.
        pub platform_reads: units::Rate,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            timeout: units::Period::from_secs(2),
            writes: units::Rate(20.0),
            reads: units::Rate(40.0),
            burst: 40,
            queue: units::Period::from_secs(1),
            breaker_failures: 5,
            breaker_wait: units::Period::from_secs(2),
            platform_writes: units::Rate(300.0),
            platform_reads: units::Rate(2_000.0),
        }
    }
}

impl Settings {
    /// Adds to `findings` what the schema alone cannot see; `place` is the settings' JSON pointer.
    pub fn check(&self, place: &str, findings: &mut Findings) {
        for (name, rate, whole) in [
            ("writes", self.writes, self.platform_writes),
            ("reads", self.reads, self.platform_reads),
        ] {
            if rate.0 <= 0.0 || rate.0 > whole.0 {
                let problem = format!("a rate of {rate}");
                let expected = format!("a share of the {whole} that the platform takes in all");
                findings.add(format!("{place}/{name}"), problem, expected);
            }
        }
        if self.burst == 0 {
            let place = format!("{place}/burst");
            findings.add(place, "no call at a time", "at least one call");
        }
        if self.breaker_failures == 0 {
            let place = format!("{place}/breaker_failures");
            findings.add(place, "no failure", "at least one failure");
        }
        if self.timeout.as_millis() == 0 {
            findings.add(format!("{place}/timeout"), "no time", "a time above zero");
        }
    }
}
