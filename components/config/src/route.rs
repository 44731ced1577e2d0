//! A rule that sends requests to a service.

use compact_str::CompactString;
use schema::config as wire;
use serde::{Deserialize, Serialize};

use crate::{Findings, Idempotency, Limits, Part};

units::record! {
    /// A rule that sends requests by host and path to a service.
    #[derive(Default, Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Route {
        /// Name, unique among routes.
        #[schemars(with = "String")]
        pub name: CompactString,
        /// Host that the request names, without port; empty matches every host.
        #[serde(default)]
        #[schemars(with = "String")]
        pub host: CompactString,
        /// Path prefix, starting with a slash; the longest one that matches wins.
        #[schemars(with = "String")]
        pub path_prefix: CompactString,
        /// Name of the service that runs the requests.
        #[schemars(with = "String")]
        pub service: CompactString,
        /// Deadline of one request, all attempts included.
        #[serde(default = "default_timeout")]
        pub timeout: units::Period,
        /// Which requests may be sent again without asking the caller.
        #[serde(default)]
        pub idempotency: Idempotency,
        /// Largest request body.
        #[serde(default = "default_max_body")]
        pub max_body: units::Size,
        /// Version of the configuration in which it last changed; set by the system.
        #[serde(default)]
        pub revision: units::Version,
        /// Most backend servers that one request is sent to; zero leaves it to the nodes' settings.
        #[serde(default)]
        pub attempts: u32,
        /// Time within which an answer is wanted; zero names none.
        #[serde(default)]
        pub target: units::Period,
        /// Rank among the routes of a service; zero is the most urgent.
        #[serde(default)]
        pub priority: u32,
        /// Services that share the requests; empty where `service` gets all of them.
        #[serde(default)]
        pub split: Vec<Part>,
        /// Whether its requests need no key where the configuration has workspaces.
        #[serde(default)]
        pub public: bool,
        /// Regions that its requests stay in; empty for all.
        #[serde(default)]
        #[schemars(with = "Vec<String>")]
        pub homes: Vec<CompactString>,
    }
}

fn default_timeout() -> units::Period {
    units::Period::from_secs(10)
}

fn default_max_body() -> units::Size {
    units::Size(16 * 1024 * 1024)
}

impl Route {
    /// Whether a request to `host` (lower case, without port) and `path` matches.
    ///
    /// A prefix matches whole path segments only: `/menu` matches `/menu/7` but not `/menus`.
    #[must_use]
    pub fn matches(&self, host: &str, path: &str) -> bool {
        if !self.host.is_empty() && self.host != host {
            return false;
        }
        let Some(rest) = path.strip_prefix(self.path_prefix.as_str()) else {
            return false;
        };
        self.path_prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/')
    }

    /// The services that its requests may go to.
    pub fn services(&self) -> impl Iterator<Item = &CompactString> {
        let alone = self.split.is_empty().then_some(&self.service);
        alone
            .into_iter()
            .chain(self.split.iter().map(|part| &part.service))
    }

    /// The service of the request at `point` of all, from 0 up to 1.
    #[must_use]
    pub fn draw_service(&self, point: f64) -> &CompactString {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        // Weights are small numbers.
        #[allow(clippy::cast_precision_loss)]
        let mut left = point * total as f64;
        for part in &self.split {
            let weight = f64::from(part.weight);
            if left < weight {
                return &part.service;
            }
            left -= weight;
        }
        &self.service
    }

    /// Adds to `findings` what is wrong with the route itself; `place` is its JSON pointer.
    pub fn check(&self, place: &str, findings: &mut Findings) {
        if let Err(error) = self.name.parse::<units::Service>() {
            let problem = format!("`{}` is not a valid name", self.name);
            findings.add(format!("{place}/name"), problem, error.expected);
        }
        self.check_split(place, findings);
        self.check_host(place, findings);
        self.check_path(place, findings);
        let timeout = self.timeout.as_millis();
        if timeout == 0 || timeout > u64::from(Limits::TIMEOUT_MS) {
            let problem = format!("a timeout of {}", self.timeout);
            findings.add(format!("{place}/timeout"), problem, "1ms to 10m");
        }
        if self.max_body.0 > Limits::BODY_BYTES {
            let problem = format!("a body limit of {}", self.max_body);
            findings.add(format!("{place}/max_body"), problem, "at most 1GiB");
        }
    }

    fn check_split(&self, place: &str, findings: &mut Findings) {
        if self.split.is_empty() {
            return;
        }
        if self.split.iter().all(|part| part.weight == 0) {
            let expected = "a weight above zero for one service at least";
            findings.add(
                format!("{place}/split"),
                "no service has a weight",
                expected,
            );
        }
        if !self.split.iter().any(|part| part.service == self.service) {
            let problem = format!("`{}` is not among the services", self.service);
            let expected = "the route's service and others that share its requests";
            findings.add(format!("{place}/split"), problem, expected);
        }
    }

    fn check_host(&self, place: &str, findings: &mut Findings) {
        let allowed = |byte: u8| {
            byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'.'
        };
        if !self.host.bytes().all(allowed) || self.host.len() > Limits::TEXT_BYTES {
            let problem = format!("`{}` is not a host name", self.host);
            let expected = "a host name in lower case without port, or nothing";
            findings.add(format!("{place}/host"), problem, expected);
        }
    }

    fn check_path(&self, place: &str, findings: &mut Findings) {
        let allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'?' && byte != b'#';
        let fits = self.path_prefix.len() <= Limits::TEXT_BYTES;
        let starts = self.path_prefix.starts_with('/');
        if !starts || !fits || !self.path_prefix.bytes().all(allowed) {
            let problem = format!("`{}` is not a path", self.path_prefix);
            let expected = "a path that starts with `/`, of at most 512 bytes";
            findings.add(format!("{place}/path_prefix"), problem, expected);
        }
    }

    /// Reads the wire form; what cannot be read is a finding below `place`.
    pub fn decode(wire: &wire::Route, place: &str, findings: &mut Findings) -> Self {
        let idempotency = wire::Idempotency::try_from(wire.idempotency);
        if idempotency.is_err() {
            let problem = format!("unknown value {}", wire.idempotency);
            findings.add(format!("{place}/idempotency"), problem, "0, 1 or 2");
        }
        Self {
            name: wire.name.as_str().into(),
            host: wire.host.as_str().into(),
            path_prefix: wire.path_prefix.as_str().into(),
            service: wire.service.as_str().into(),
            timeout: units::Period::from_millis(u64::from(wire.timeout_ms)),
            idempotency: idempotency.unwrap_or_default().into(),
            max_body: units::Size(wire.max_body_bytes),
            revision: units::Version(wire.revision),
            attempts: wire.attempts,
            target: units::Period::from_millis(u64::from(wire.target_ms)),
            priority: wire.priority,
            split: wire.split.iter().map(Part::decode).collect(),
            public: wire.public,
            homes: wire.homes.iter().map(CompactString::from).collect(),
        }
    }

    /// The wire form.
    #[must_use]
    pub fn encode(&self) -> wire::Route {
        wire::Route {
            name: self.name.to_string(),
            host: self.host.to_string(),
            path_prefix: self.path_prefix.to_string(),
            service: self.service.to_string(),
            timeout_ms: u32::try_from(self.timeout.as_millis()).unwrap_or(u32::MAX),
            idempotency: wire::Idempotency::from(self.idempotency).into(),
            max_body_bytes: self.max_body.0,
            revision: self.revision.0,
            attempts: self.attempts,
            target_ms: u32::try_from(self.target.as_millis()).unwrap_or(u32::MAX),
            priority: self.priority,
            split: self.split.iter().map(Part::encode).collect(),
            public: self.public,
            homes: self.homes.iter().map(CompactString::to_string).collect(),
        }
    }
}
