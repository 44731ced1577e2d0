//! A customer of the mesh.

use compact_str::CompactString;
use schema::config as wire;
use serde::{Deserialize, Serialize};

use crate::{Findings, key};

units::record! {
    /// A customer of the mesh, known by the keys that its callers send.
    #[derive(Default, Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Workspace {
        /// Name, unique among workspaces.
        #[schemars(with = "String")]
        pub name: CompactString,
        /// Digests of its keys, sorted; a file may give a key as its text or as `sha256:` and the
        /// digits of its digest.
        #[serde(default)]
        #[schemars(with = "Vec<String>")]
        pub keys: Vec<key::Digest>,
        /// Requests a second over all nodes together; zero for no limit.
        #[serde(default)]
        pub rate: units::Rate,
        /// Requests above the rate that may come at once.
        #[serde(default)]
        pub burst: u32,
        /// Rank among workspaces, before that of the route; zero is the most urgent.
        #[serde(default)]
        pub priority: u32,
        /// Regions that its requests stay in; empty for all.
        #[serde(default)]
        #[schemars(with = "Vec<String>")]
        pub homes: Vec<CompactString>,
        /// Version of the configuration in which it last changed; set by the system.
        #[serde(default)]
        pub revision: units::Version,
    }
}

impl Workspace {
    /// Adds to `findings` what is wrong with the workspace itself; `place` is its JSON pointer.
    pub fn check(&self, place: &str, findings: &mut Findings) {
        if let Err(error) = self.name.parse::<units::Service>() {
            let problem = format!("`{}` is not a valid name", self.name);
            findings.add(format!("{place}/name"), problem, error.expected);
        }
        if !self.rate.0.is_finite() || self.rate.0 < 0.0 {
            let problem = format!("a rate of {}", self.rate);
            findings.add(
                format!("{place}/rate"),
                problem,
                "zero for no limit, or more",
            );
        }
    }

    /// Adds to `findings` what an operator who changes the workspace has hardly meant.
    pub fn check_given(&self, place: &str, findings: &mut Findings) {
        if self.burst > 0 && self.rate.0 == 0.0 {
            let problem = format!("a burst of {} without a rate", self.burst);
            findings.add(format!("{place}/burst"), problem, "a rate, or no burst");
        }
        let mut keys = self.keys.clone();
        keys.sort_unstable();
        if keys.windows(2).any(|pair| pair[0] == pair[1]) {
            findings.add(
                format!("{place}/keys"),
                "a key stands twice",
                "each key once",
            );
        }
    }

    /// Reads the wire form; what cannot be read is a finding below `place`.
    pub fn decode(wire: &wire::Workspace, place: &str, findings: &mut Findings) -> Self {
        let mut keys = Vec::with_capacity(wire.keys.len());
        for (index, bytes) in wire.keys.iter().enumerate() {
            match key::Digest::from_bytes(bytes) {
                Some(digest) => keys.push(digest),
                None => findings.add(
                    format!("{place}/keys/{index}"),
                    format!("{} bytes", bytes.len()),
                    "a SHA-256 digest of 32 bytes",
                ),
            }
        }
        keys.sort_unstable();
        Self {
            name: wire.name.as_str().into(),
            keys,
            rate: units::Rate(wire.rate),
            burst: wire.burst,
            priority: wire.priority,
            homes: wire.homes.iter().map(CompactString::from).collect(),
            revision: units::Version(wire.revision),
        }
    }

    /// The wire form.
    #[must_use]
    pub fn encode(&self) -> wire::Workspace {
        let keys = self.keys.iter().map(|digest| digest.as_bytes().to_vec());
        wire::Workspace {
            name: self.name.to_string(),
            keys: keys.collect(),
            rate: self.rate.0,
            burst: self.burst,
            priority: self.priority,
            homes: self.homes.iter().map(CompactString::to_string).collect(),
            revision: self.revision.0,
        }
    }
}
