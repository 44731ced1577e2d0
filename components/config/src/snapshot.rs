//! The whole configuration at one version.

use prost::Message;
use schema::config as wire;
use xxhash_rust::xxh3;

use crate::{Change, Findings, Limits, Put, Remove, Route, Service};

/// The whole configuration at one version; immutable once built.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    version: units::Version,
    /// Sorted by name.
    services: Vec<Service>,
    /// Sorted by name.
    routes: Vec<Route>,
    /// Oldest first, bounded by [`Limits::SETTLED`].
    settled: Vec<(units::Operation, units::Version)>,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// It makes this snapshot.
    Accepted(Snapshot),
    /// The operation was accepted before, at this version.
    Repeated(units::Version),
}

/// Why a change cannot be accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The resulting configuration would be wrong.
    #[error("the change is invalid:\n{0}")]
    Invalid(Findings),
    /// A resource is not at the revision that the change expects.
    #[error("a resource has changed meanwhile:\n{0}")]
    Conflict(Findings),
}

impl Snapshot {
    /// Version of the configuration.
    #[must_use]
    pub fn version(&self) -> units::Version {
        self.version
    }

    /// Services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Routes, sorted by name.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The service called `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let place = self
            .services
            .binary_search_by(|one| one.name.as_str().cmp(name));
        place.ok().map(|place| &self.services[place])
    }

    /// The route called `name`.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<&Route> {
        let place = self
            .routes
            .binary_search_by(|one| one.name.as_str().cmp(name));
        place.ok().map(|place| &self.routes[place])
    }

    /// The version at which `operation` was accepted, if it is among the remembered ones.
    #[must_use]
    pub fn settled(&self, operation: &units::Operation) -> Option<units::Version> {
        let mut latest_first = self.settled.iter().rev();
        let found = latest_first.find(|(settled, _)| settled == operation);
        found.map(|(_, version)| *version)
    }

    /// Applies one change as the next version.
    ///
    /// # Errors
    /// See [`Refusal`]; `self` stays as it is.
    pub fn apply(&self, change: &Change) -> Result<Applied, Refusal> {
        if let Some(version) = self.settled(&change.operation) {
            return Ok(Applied::Repeated(version));
        }
        self.apply_at(change, self.version.next())
    }

    /// Applies a further change of the log entry that made this version.
    ///
    /// # Errors
    /// See [`Refusal`]; `self` stays as it is.
    pub fn apply_along(&self, change: &Change) -> Result<Applied, Refusal> {
        if let Some(version) = self.settled(&change.operation) {
            return Ok(Applied::Repeated(version));
        }
        self.apply_at(change, self.version)
    }

    fn apply_at(&self, change: &Change, version: units::Version) -> Result<Applied, Refusal> {
        self.check_expected(change)?;
        let mut next = self.clone();
        next.version = version;
        next.merge(change);
        let mut findings = Findings::default();
        next.check_resources(change, &mut findings);
        next.check_whole(&mut findings);
        findings
            .into_result(Applied::Accepted(next))
            .map_err(Refusal::Invalid)
    }

    /// Applies the changes of one log entry as one version, all or none.
    ///
    /// # Errors
    /// The first refusal; an entry in the log was checked by its writer, so that a refusal here
    /// means that the two nodes disagree.
    pub fn apply_all(&self, changes: &[Change]) -> Result<Self, Refusal> {
        let mut current = self.clone();
        for change in changes {
            // Every change of an entry takes effect at the entry's one version.
            current.version = self.version;
            if let Applied::Accepted(next) = current.apply(change)? {
                current = next;
            }
        }
        current.version = self.version.next();
        Ok(current)
    }

    /// Digest of the content, equal on every node that holds the same version.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut wire = self.encode_content();
        wire.digest = 0;
        xxh3::xxh3_64(&wire.encode_to_vec())
    }

    /// The wire form, with its digest.
    #[must_use]
    pub fn encode(&self) -> wire::Checkpoint {
        let mut wire = self.encode_content();
        wire.digest = self.digest();
        wire
    }

    /// Reads the wire form and checks it whole.
    ///
    /// # Errors
    /// Everything that is wrong, the digest included.
    pub fn decode(wire: &wire::Checkpoint) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mut snapshot = Self {
            version: units::Version(wire.version),
            ..Self::default()
        };
        for (index, service) in wire.services.iter().enumerate() {
            let place = format!("/services/{index}");
            let service = Service::decode(service, &place, &mut findings);
            service.check(&place, &mut findings);
            snapshot.services.push(service);
        }
        for (index, route) in wire.routes.iter().enumerate() {
            let place = format!("/routes/{index}");
            let route = Route::decode(route, &place, &mut findings);
            route.check(&place, &mut findings);
            snapshot.routes.push(route);
        }
        for (index, settled) in wire.settled.iter().enumerate() {
            match settled.operation.parse() {
                Ok(operation) => {
                    let version = units::Version(settled.version);
                    snapshot.settled.push((operation, version));
                }
                Err(units::Error { text, expected }) => {
                    findings.add(format!("/settled/{index}"), text, expected);
                }
            }
        }
        snapshot.check_order(&mut findings);
        snapshot.check_whole(&mut findings);
        if findings.is_empty() && snapshot.digest() != wire.digest {
            findings.add(
                "/digest",
                "it does not fit the content",
                "the digest of the content",
            );
        }
        findings.into_result(snapshot)
    }

    fn encode_content(&self) -> wire::Checkpoint {
        let settled = self
            .settled
            .iter()
            .map(|(operation, version)| wire::Settled {
                operation: operation.to_string(),
                version: version.0,
            });
        wire::Checkpoint {
            version: self.version.0,
            services: self.services.iter().map(Service::encode).collect(),
            routes: self.routes.iter().map(Route::encode).collect(),
            settled: settled.collect(),
            digest: 0,
        }
    }

    /// Compares the revisions that the change expects with those held.
    fn check_expected(&self, change: &Change) -> Result<(), Refusal> {
        let mut findings = Findings::default();
        for (index, put) in change.puts.iter().enumerate() {
            let (held, expected) = match put {
                Put::Service(service, expected) => (self.service_revision(&service.name), expected),
                Put::Route(route, expected) => (self.route_revision(&route.name), expected),
            };
            compare(&put.place(index), held, *expected, &mut findings);
        }
        for (index, remove) in change.removes.iter().enumerate() {
            let (held, expected) = match remove {
                Remove::Service(name, expected) => (self.service_revision(name), expected),
                Remove::Route(name, expected) => (self.route_revision(name), expected),
            };
            let place = format!("/removes/{index}");
            if held == units::Version(0) {
                findings.add(place, "there is no such resource", "the name of a resource");
            } else {
                compare(&place, held, *expected, &mut findings);
            }
        }
        findings.into_result(()).map_err(Refusal::Conflict)
    }

    /// Revision of a service; zero where there is none.
    fn service_revision(&self, name: &str) -> units::Version {
        self.service(name)
            .map(|service| service.revision)
            .unwrap_or_default()
    }

    /// Revision of a route; zero where there is none.
    fn route_revision(&self, name: &str) -> units::Version {
        self.route(name)
            .map(|route| route.revision)
            .unwrap_or_default()
    }

    fn merge(&mut self, change: &Change) {
        for remove in &change.removes {
            match remove {
                Remove::Service(name, _) => self.services.retain(|one| one.name != *name),
                Remove::Route(name, _) => self.routes.retain(|one| one.name != *name),
            }
        }
        for put in &change.puts {
            match put {
                Put::Service(service, _) => self.put_service(service),
                Put::Route(route, _) => self.put_route(route),
            }
        }
        self.settled.push((change.operation.clone(), self.version));
        let excess = self.settled.len().saturating_sub(Limits::SETTLED);
        self.settled.drain(..excess);
    }

    fn put_service(&mut self, service: &Service) {
        let mut service = service.clone();
        service.revision = self.version;
        match self
            .services
            .binary_search_by(|one| one.name.cmp(&service.name))
        {
            Ok(place) => self.services[place] = service,
            Err(place) => self.services.insert(place, service),
        }
    }

    fn put_route(&mut self, route: &Route) {
        let mut route = route.clone();
        route.revision = self.version;
        match self
            .routes
            .binary_search_by(|one| one.name.cmp(&route.name))
        {
            Ok(place) => self.routes[place] = route,
            Err(place) => self.routes.insert(place, route),
        }
    }

    /// Checks the resources that the change brings, and that it names each once.
    fn check_resources(&self, change: &Change, findings: &mut Findings) {
        change.check(findings);
        for (index, put) in change.puts.iter().enumerate() {
            let place = put.place(index);
            match put {
                Put::Service(service, _) => service.check(&place, findings),
                Put::Route(route, _) => route.check(&place, findings),
            }
            let twice = change.puts[..index]
                .iter()
                .any(|other| same_name(other, put));
            if twice {
                findings.add(place, "the resource stands twice", "each resource once");
            }
        }
    }

    /// Checks what spans resources: references, counts and ambiguous routes.
    fn check_whole(&self, findings: &mut Findings) {
        for route in &self.routes {
            if self.service(&route.service).is_none() {
                let problem = format!("there is no service `{}`", route.service);
                let place = format!("/routes/{}/service", route.name);
                findings.add(place, problem, "the name of a service in the configuration");
            }
        }
        self.check_ambiguous(findings);
        if self.services.len() > Limits::SERVICES {
            let problem = format!("{} services", self.services.len());
            findings.add(
                "/services",
                problem,
                format!("at most {}", Limits::SERVICES),
            );
        }
        if self.routes.len() > Limits::ROUTES {
            let problem = format!("{} routes", self.routes.len());
            findings.add("/routes", problem, format!("at most {}", Limits::ROUTES));
        }
    }

    /// Reports routes that match exactly the same requests.
    fn check_ambiguous(&self, findings: &mut Findings) {
        let mut rules: Vec<_> = self
            .routes
            .iter()
            .map(|route| (&route.host, &route.path_prefix, &route.name))
            .collect();
        rules.sort_unstable();
        for pair in rules.windows(2) {
            let (first, second) = (pair[0], pair[1]);
            if (first.0, first.1) == (second.0, second.1) {
                let problem = format!("it matches the same requests as `{}`", first.2);
                let place = format!("/routes/{}", second.2);
                findings.add(place, problem, "a host and path prefix of its own");
            }
        }
    }

    /// A checkpoint from elsewhere has to be sorted by name, each name once.
    fn check_order(&self, findings: &mut Findings) {
        if !self
            .services
            .is_sorted_by(|one, other| one.name < other.name)
        {
            findings.add(
                "/services",
                "they are out of order",
                "sorted by name, each once",
            );
        }
        if !self.routes.is_sorted_by(|one, other| one.name < other.name) {
            findings.add(
                "/routes",
                "they are out of order",
                "sorted by name, each once",
            );
        }
    }
}

fn compare(
    place: &str,
    held: units::Version,
    expected: Option<units::Version>,
    findings: &mut Findings,
) {
    let Some(expected) = expected else {
        return;
    };
    if expected != held {
        let problem = format!("the change expects revision {expected}");
        findings.add(place, problem, format!("revision {held}, the current one"));
    }
}

fn same_name(one: &Put, other: &Put) -> bool {
    match (one, other) {
        (Put::Service(one, _), Put::Service(other, _)) => one.name == other.name,
        (Put::Route(one, _), Put::Route(other, _)) => one.name == other.name,
        _ => false,
    }
}
