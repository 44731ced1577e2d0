//! The whole configuration at one version.

mod check;

use std::rc;

use schema::config as wire;
use xxhash_rust::xxh3;

use crate::keys::Keys;
use crate::list::List;
use crate::settled::Settled;
use crate::{Applied, Change, Findings, Put, Refusal, Remove, Route, Service, Workspace, key};

/// The whole configuration at one version; immutable once built.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    version: units::Version,
    services: List<Service>,
    routes: List<Route>,
    workspaces: List<Workspace>,
    /// Whether the source lists workspaces, be it none.
    lists_workspaces: bool,
    /// Index of the keys of the workspaces.
    keys: rc::Rc<Keys>,
    settled: Settled,
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
            ..Self::default()
        };
        let mut findings = Findings::default();
        snapshot.check_order(&mut findings);
        snapshot.check_whole(&mut findings);
        findings.into_result(snapshot)
    }

    /// The same configuration with these workspaces; requests need a key also where there are none.
    ///
    /// # Errors
    /// Everything that is wrong with the workspaces.
    pub fn with_workspaces(mut self, mut workspaces: Vec<Workspace>) -> Result<Self, Findings> {
        workspaces.sort_by(|one, other| one.name.cmp(&other.name));
        self.workspaces = List::new(workspaces);
        self.lists_workspaces = true;
        let mut findings = Findings::default();
        self.check_order(&mut findings);
        self.index_keys(&mut findings);
        findings.into_result(self)
    }

    /// Checks the workspaces, and indexes their keys.
    fn index_keys(&mut self, findings: &mut Findings) {
        for workspace in self.workspaces.as_slice() {
            workspace.check(&format!("/workspaces/{}", workspace.name), findings);
        }
        self.keys = rc::Rc::new(Keys::new(self.workspaces.as_slice(), findings));
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

    /// Whether requests need a key: there are workspaces, or a source that lists them lists none any more.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        self.lists_workspaces || !self.workspaces().is_empty()
    }

    /// Workspaces, sorted by name.
    #[must_use]
    pub fn workspaces(&self) -> &[Workspace] {
        self.workspaces.as_slice()
    }

    /// The workspace called `name`.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.get(name)
    }

    /// The workspace that holds the key with this digest.
    #[must_use]
    pub fn workspace_of(&self, key: &key::Digest) -> Option<&Workspace> {
        let index = self.keys.find(key)?;
        self.workspaces().get(index)
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
        if change.has_workspaces() {
            next.keys = rc::Rc::new(Keys::new(next.workspaces(), &mut findings));
        }
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
            // Without workspaces the digest is that of nodes that do not know of them.
            self.routes.digest().wrapping_add(self.workspaces.digest()),
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
        let workspaces = wire
            .workspaces
            .iter()
            .enumerate()
            .map(|(index, workspace)| {
                Workspace::decode(workspace, &format!("/workspaces/{index}"), &mut findings)
            });
        let workspaces = List::new(workspaces.collect());
        let settled = decode_settled(&wire.settled, &mut findings);
        let mut snapshot = Self {
            version: units::Version(wire.version),
            services,
            routes,
            workspaces,
            settled,
            ..Self::default()
        };
        snapshot.index_keys(&mut findings);
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
            workspaces: self.workspaces().iter().map(Workspace::encode).collect(),
            digest: 0,
        }
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

    /// Revision of a workspace; zero where there is none.
    fn workspace_revision(&self, name: &str) -> units::Version {
        self.workspace(name)
            .map(|workspace| workspace.revision)
            .unwrap_or_default()
    }

    fn merge(&mut self, change: &Change) {
        for remove in &change.removes {
            match remove {
                Remove::Service(name, _) => self.services.remove(name),
                Remove::Route(name, _) => self.routes.remove(name),
                Remove::Workspace(name, _) => self.workspaces.remove(name),
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
                Put::Workspace(workspace, _) => {
                    let mut workspace = workspace.clone();
                    workspace.keys.sort_unstable();
                    workspace.revision = self.version;
                    self.workspaces.put(workspace);
                }
            }
        }
        self.settled.push(change.operation.clone(), self.version);
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
