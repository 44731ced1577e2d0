//! Settings of the relay.

use findings::Findings;
use serde::{Deserialize, Serialize};

use crate::{Intervals, Limits};

units::record! {
    /// Settings of the relay, the same on all nodes.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields, default)]
    pub struct Settings {
        /// Time within which a change has to reach all nodes; the relay derives its intervals from it.
        pub apply: units::Period,
        /// Time after which a withdrawn key must not work on any node, in touch or not; zero where nodes
        /// do not ask each other how certain their configuration is.
        pub revocation: units::Period,
        /// Number of nodes in the fleet that watch the store, spread over the data centres.
        pub watchers: usize,
        /// First backoff after a failed call to the store; it doubles up to `retry_most`.
        pub retry_least: units::Period,
        /// Longest backoff after failed calls to the store.
        pub retry_most: units::Period,
        /// Number of nodes to which one node forwards a message.
        pub fanout: usize,
        /// Calls to the store a second that all nodes together make when they find the watchers silent.
        pub reads: units::Rate,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            apply: units::Period::from_secs(2),
            revocation: units::Period::default(),
            watchers: 3,
            retry_least: units::Period::from_millis(100),
            retry_most: units::Period::from_millis(800),
            fanout: 4,
            reads: units::Rate(1_000.0),
        }
    }
}

impl Settings {
    /// Intervals and timeouts derived from the time within which a change has to reach all nodes.
    #[must_use]
    pub fn intervals(&self) -> Intervals {
        Intervals::new(self.apply.0)
    }

    /// Ages up to which the configuration of a node counts.
    #[must_use]
    pub fn limits(&self) -> Limits {
        Limits {
            current: self.intervals().stale_after,
            revocation: self.revocation.0,
        }
    }

    /// Adds findings for rules that the schema cannot express; `place` is the settings' JSON pointer.
    pub fn check(&self, place: &str, findings: &mut Findings) {
        for (name, number) in [("watchers", self.watchers), ("fanout", self.fanout)] {
            if number == 0 {
                findings.add(format!("{place}/{name}"), "zero", "at least 1");
            }
        }
        if self.reads.0 < 1.0 {
            let problem = format!("a rate of {}", self.reads);
            findings.add(format!("{place}/reads"), problem, "at least 1/s");
        }
        if self.apply.as_millis() == 0 {
            findings.add(format!("{place}/apply"), "no time", "a time above zero");
        }
    }
}
