//! A named group of backend servers.

use compact_str::CompactString;
use schema::config as wire;
use serde::{Deserialize, Serialize};

use crate::{Findings, Limits, Weight};

units::record! {
    /// A service and how its traffic is shared among its versions.
    #[derive(Default, Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// Name, unique among services.
        #[schemars(with = "String")]
        pub name: CompactString,
        /// Shares of the versions; they add up to the whole.
        ///
        /// Without any, which only a source of whole configurations may leave out, all versions
        /// that backend servers announce share the traffic.
        pub weights: Vec<Weight>,
        /// Version of the configuration in which it last changed; set by the system.
        #[serde(default)]
        pub revision: units::Version,
        /// Most connections to one backend server; zero leaves it to what the server announces.
        #[serde(default)]
        pub connections: u32,
        /// Path at which a backend server answers whether it is healthy; empty where it has none.
        #[serde(default)]
        #[schemars(with = "String")]
        pub health_path: CompactString,
        /// Requests a second that a backend server bears while it warms up; zero where it needs no
        /// warm-up.
        #[serde(default)]
        pub warmup_rate: units::Rate,
        /// How long a backend server warms up after its start.
        #[serde(default)]
        pub warmup: units::Period,
    }
}

impl Service {
    /// The weight of `version`, if it has one.
    #[must_use]
    pub fn weight(&self, version: &str) -> Option<&Weight> {
        self.weights.iter().find(|weight| weight.version == version)
    }

    /// Adds to `findings` what is wrong with the service itself; `place` is its JSON pointer.
    pub fn check(&self, place: &str, findings: &mut Findings) {
        if let Err(error) = self.name.parse::<units::Service>() {
            let problem = format!("`{}` is not a valid name", self.name);
            findings.add(format!("{place}/name"), problem, error.expected);
        }
        if self.weights.is_empty() || self.weights.len() > Limits::WEIGHTS {
            let problem = format!("{} versions", self.weights.len());
            let expected = format!("1 to {} versions", Limits::WEIGHTS);
            findings.add(format!("{place}/weights"), problem, expected);
        }
        self.check_weights(place, findings);
    }

    fn check_weights(&self, place: &str, findings: &mut Findings) {
        for (index, weight) in self.weights.iter().enumerate() {
            let place = format!("{place}/weights/{index}/version");
            if weight.version.parse::<units::Service>().is_err() {
                let problem = format!("`{}` is not a valid version name", weight.version);
                findings.add(place, problem, "1 to 128 letters, digits, `-`, `_` or `.`");
                continue;
            }
            let earlier = &self.weights[..index];
            if earlier.iter().any(|other| other.version == weight.version) {
                let problem = format!("version `{}` stands twice", weight.version);
                findings.add(place, problem, "each version once");
            }
        }
        let parts = self.weights.iter().map(|weight| weight.share.parts());
        let sum: u32 = parts.sum();
        if sum != units::Share::WHOLE.parts() && !self.weights.is_empty() {
            let problem = format!("the shares add up to {}%", f64::from(sum) / 100.0);
            findings.add(format!("{place}/weights"), problem, "a sum of 100%");
        }
    }

    /// Reads the wire form; what cannot be read is a finding below `place`.
    pub fn decode(wire: &wire::Service, place: &str, findings: &mut Findings) -> Self {
        let mut weights = Vec::with_capacity(wire.weights.len());
        for (index, weight) in wire.weights.iter().enumerate() {
            let place = format!("{place}/weights/{index}");
            weights.push(Weight::decode(weight, &place, findings));
        }
        Self {
            name: wire.name.as_str().into(),
            weights,
            revision: units::Version(wire.revision),
            connections: wire.connections,
            health_path: wire.health_path.as_str().into(),
            warmup_rate: units::Rate(wire.warmup_rate),
            warmup: units::Period::from_millis(u64::from(wire.warmup_ms)),
        }
    }

    /// The wire form.
    #[must_use]
    pub fn encode(&self) -> wire::Service {
        wire::Service {
            name: self.name.to_string(),
            weights: self.weights.iter().map(Weight::encode).collect(),
            revision: self.revision.0,
            connections: self.connections,
            health_path: self.health_path.to_string(),
            warmup_rate: self.warmup_rate.0,
            warmup_ms: u32::try_from(self.warmup.as_millis()).unwrap_or(u32::MAX),
        }
    }
}
