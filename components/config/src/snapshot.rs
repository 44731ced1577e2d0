//! The whole configuration at one version.

use schema::config as wire;
use xxhash_rust::xxh3;

use crate::list::List;
use crate::settled::Settled;
use crate::{Change, Findings, Limits, Put, Remove, Route, Service};

/// The whole configuration at one version; immutable once built.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    version: units::Version,
    services: List<Service>,
    routes: List<Route>,
    settled: Settled,
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
    /// A snapshot of the whole configuration, as a source gives it that has no log of changes.
    ///
    /// # Errors
    /// Routes to services that are missing, and routes that match the same requests.
    pub fn whole(
        version: units::Version,
        mut services: Vec<Service>,
        mut routes: Vec<Route>,
    ) -> Result<Self, Findings> {
        services.sort_by(|one, other| one.name.cmp(&other.name));
        routes.sort_by(|one, other| one.name.cmp(&other.name));
        let snapshot = Self {
            version,
            services: List::new(services),
            routes: List::new(routes),
            settled: Settled::default(),
        };
        let mut findings = Findings::default();
        snapshot.check_order(&mut findings);
        snapshot.check_whole(&mut findings);
        findings.into_result(snapshot)
    }

    /// Version of the configuration.
    #[must_use]
    pub fn version(&self) -> units::Version {
        self.version
    }

    /// Services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        self.services.as_slice()
    }

    /// Routes, sorted by name.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        self.routes.as_slice()
    }

    /// The service called `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// The route called `name`.
    #[must_use]
    pub fn route(&self, name: &str) -> Option<&Route> {
        self.routes.get(name)
    }

    /// The version at which `operation` was accepted, if it is among the remembered ones.
    #[must_use]
    pub fn settled(&self, operation: &units::Operation) -> Option<units::Version> {
        self.settled.get(operation)
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
        next.check_touched(change, &mut findings);
        next.check_counts(&mut findings);
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
        let parts = [
            self.version.0,
            self.services.digest(),
            self.routes.digest(),
            self.settled.digest(),
        ];
        xxh3::xxh3_64(&parts.map(u64::to_le_bytes).concat())
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
        let services = wire.services.iter().enumerate().map(|(index, service)| {
            let place = format!("/services/{index}");
            let service = Service::decode(service, &place, &mut findings);
            service.check(&place, &mut findings);
            service
        });
        let services = List::new(services.collect());
        let routes = wire.routes.iter().enumerate().map(|(index, route)| {
            let place = format!("/routes/{index}");
            let route = Route::decode(route, &place, &mut findings);
            route.check(&place, &mut findings);
            route
        });
        let routes = List::new(routes.collect());
        let settled = decode_settled(&wire.settled, &mut findings);
        let snapshot = Self {
            version: units::Version(wire.version),
            services,
            routes,
            settled,
        };
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
            services: self.services().iter().map(Service::encode).collect(),
            routes: self.routes().iter().map(Route::encode).collect(),
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
                Remove::Service(name, _) => self.services.remove(name),
                Remove::Route(name, _) => self.routes.remove(name),
            }
        }
        for put in &change.puts {
            match put {
                Put::Service(service, _) => {
                    let mut service = service.clone();
                    service.revision = self.version;
                    self.services.put(service);
                }
                Put::Route(route, _) => {
                    let mut route = route.clone();
                    route.revision = self.version;
                    self.routes.put(route);
                }
            }
        }
        self.settled.push(change.operation.clone(), self.version);
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
        for route in self.routes() {
            self.check_reference(route, findings);
        }
        self.check_ambiguous(findings);
        self.check_counts(findings);
    }

    /// Checks what spans resources where `change` touches it; the rest was right before.
    fn check_touched(&self, change: &Change, findings: &mut Findings) {
        for put in &change.puts {
            if let Put::Route(route, _) = put {
                self.check_reference(route, findings);
                self.check_ambiguity(route, findings);
            }
        }
        let gone = |name: &str| {
            let removed = change.removes.iter().any(|one| match one {
                Remove::Service(removed, _) => removed == name,
                Remove::Route(..) => false,
            });
            removed && self.service(name).is_none()
        };
        let removes_service = |one: &Remove| matches!(one, Remove::Service(..));
        if change.removes.iter().any(removes_service) {
            let lost = |one: &&Route| one.services().any(|name| gone(name));
            for route in self.routes().iter().filter(lost) {
                self.check_reference(route, findings);
            }
        }
    }

    /// Reports `route` where its service is missing.
    fn check_reference(&self, route: &Route, findings: &mut Findings) {
        for service in route.services() {
            if self.service(service).is_none() {
                let problem = format!("there is no service `{service}`");
                let place = format!("/routes/{}/service", route.name);
                findings.add(place, problem, "the name of a service in the configuration");
            }
        }
    }

    /// Reports `route` where another one matches exactly the same requests.
    fn check_ambiguity(&self, route: &Route, findings: &mut Findings) {
        let same = |one: &&Route| {
            one.path_prefix == route.path_prefix && one.host == route.host && one.name != route.name
        };
        if let Some(other) = self.routes().iter().find(same) {
            add_ambiguous(&route.name, &other.name, findings);
        }
    }

    fn check_counts(&self, findings: &mut Findings) {
        let (services, routes) = (self.services().len(), self.routes().len());
        if services > Limits::SERVICES {
            let expected = format!("at most {}", Limits::SERVICES);
            findings.add("/services", format!("{services} services"), expected);
        }
        if routes > Limits::ROUTES {
            let expected = format!("at most {}", Limits::ROUTES);
            findings.add("/routes", format!("{routes} routes"), expected);
        }
    }

    /// Reports routes that match exactly the same requests.
    fn check_ambiguous(&self, findings: &mut Findings) {
        let mut rules: Vec<_> = self
            .routes()
            .iter()
            .map(|route| (&route.host, &route.path_prefix, &route.name))
            .collect();
        rules.sort_unstable();
        for pair in rules.windows(2) {
            let (first, second) = (pair[0], pair[1]);
            if (first.0, first.1) == (second.0, second.1) {
                add_ambiguous(second.2, first.2, findings);
            }
        }
    }

    /// A checkpoint from elsewhere has to be sorted by name, each name once.
    fn check_order(&self, findings: &mut Findings) {
        let orders = [
            ("/services", self.services.is_sorted()),
            ("/routes", self.routes.is_sorted()),
        ];
        for (place, sorted) in orders {
            if !sorted {
                findings.add(place, "they are out of order", "sorted by name, each once");
            }
        }
    }
}

/// Reads the settled operations; what cannot be read is a finding.
fn decode_settled(wire: &[wire::Settled], findings: &mut Findings) -> Settled {
    let mut settled = Settled::default();
    for (index, one) in wire.iter().enumerate() {
        match one.operation.parse() {
            Ok(operation) => settled.push(operation, units::Version(one.version)),
            Err(units::Error { text, expected }) => {
                findings.add(format!("/settled/{index}"), text, expected);
            }
        }
    }
    settled
}

fn add_ambiguous(route: &str, other: &str, findings: &mut Findings) {
    let problem = format!("it matches the same requests as `{other}`");
    let place = format!("/routes/{route}");
    findings.add(place, problem, "a host and path prefix of its own");
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
