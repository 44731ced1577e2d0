//! One operator's change to the configuration.

use compact_str::CompactString;
use schema::config as wire;

use crate::{Findings, Limits, Route, Service, Workspace};

units::record! {
    /// A change that is accepted whole or refused whole.
    pub struct Change {
        /// Id of the operation.
        pub operation: units::Operation,
        /// Resources to create or replace.
        pub puts: Vec<Put>,
        /// Resources to remove.
        pub removes: Vec<Remove>,
        /// Who asked.
        pub author: CompactString,
    }

    /// A resource to create or replace.
    pub enum Put {
        /// A service, and the revision it must have.
        Service(Service, Option<units::Version>),
        /// A route, and the revision it must have.
        Route(Route, Option<units::Version>),
        /// A workspace, and the revision it must have.
        Workspace(Workspace, Option<units::Version>),
    }

    /// A resource to remove.
    pub enum Remove {
        /// The service of this name, and the revision it must have.
        Service(CompactString, Option<units::Version>),
        /// The route of this name, and the revision it must have.
        Route(CompactString, Option<units::Version>),
        /// The workspace of this name, and the revision it must have.
        Workspace(CompactString, Option<units::Version>),
    }
}

impl Change {
    /// Reads the wire form.
    ///
    /// # Errors
    /// Everything that is malformed, with JSON pointers into the change.
    pub fn decode(wire: &wire::Change) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let operation = decode_operation(&wire.operation, &mut findings);
        check_count(wire.puts.len() + wire.removes.len(), &mut findings);
        let mut puts = Vec::with_capacity(wire.puts.len());
        for (index, put) in wire.puts.iter().enumerate() {
            puts.extend(Put::decode(put, &format!("/puts/{index}"), &mut findings));
        }
        let mut removes = Vec::with_capacity(wire.removes.len());
        for (index, remove) in wire.removes.iter().enumerate() {
            let place = format!("/removes/{index}");
            removes.extend(Remove::decode(remove, &place, &mut findings));
        }
        let author = wire.author.as_str().into();
        let change = operation.map(|operation| Self {
            operation,
            puts,
            removes,
            author,
        });
        match change {
            Some(change) => findings.into_result(change),
            None => Err(findings),
        }
    }

    /// Adds a finding where the change names no resource, or too many.
    pub(crate) fn check(&self, findings: &mut Findings) {
        check_count(self.puts.len() + self.removes.len(), findings);
    }

    /// Whether the change puts or removes a workspace.
    pub(crate) fn has_workspaces(&self) -> bool {
        let puts = |put: &Put| matches!(put, Put::Workspace(..));
        let removes = |remove: &Remove| matches!(remove, Remove::Workspace(..));
        self.puts.iter().any(puts) || self.removes.iter().any(removes)
    }

    /// The wire form.
    #[must_use]
    pub fn encode(&self) -> wire::Change {
        wire::Change {
            operation: self.operation.to_string(),
            puts: self.puts.iter().map(Put::encode).collect(),
            removes: self.removes.iter().map(Remove::encode).collect(),
            author: self.author.to_string(),
        }
    }
}

fn check_count(count: usize, findings: &mut Findings) {
    if count == 0 || count > Limits::RESOURCES {
        let expected = format!("1 to {} resources", Limits::RESOURCES);
        findings.add("", format!("{count} resources"), expected);
    }
}

fn decode_operation(text: &str, findings: &mut Findings) -> Option<units::Operation> {
    let parsed = text.parse();
    if let Err(units::Error { expected, .. }) = &parsed {
        let problem = format!("`{text}` is not an operation id");
        findings.add("/operation", problem, *expected);
    }
    parsed.ok()
}

impl Put {
    /// JSON pointer of the resource inside the change, below `place`.
    #[must_use]
    pub fn place(&self, index: usize) -> String {
        match self {
            Self::Service(..) => format!("/puts/{index}/service"),
            Self::Route(..) => format!("/puts/{index}/route"),
            Self::Workspace(..) => format!("/puts/{index}/workspace"),
        }
    }

    fn decode(wire: &wire::Put, place: &str, findings: &mut Findings) -> Option<Self> {
        let expected = wire.expected_revision.map(units::Version);
        match &wire.resource {
            Some(wire::put::Resource::Service(service)) => {
                let service = Service::decode(service, &format!("{place}/service"), findings);
                Some(Self::Service(service, expected))
            }
            Some(wire::put::Resource::Route(route)) => {
                let route = Route::decode(route, &format!("{place}/route"), findings);
                Some(Self::Route(route, expected))
            }
            Some(wire::put::Resource::Workspace(workspace)) => {
                let place = format!("{place}/workspace");
                let workspace = Workspace::decode(workspace, &place, findings);
                Some(Self::Workspace(workspace, expected))
            }
            None => {
                findings.add(place, "no resource", "a service, a route or a workspace");
                None
            }
        }
    }

    fn encode(&self) -> wire::Put {
        let (resource, expected) = match self {
            Self::Service(service, expected) => {
                (wire::put::Resource::Service(service.encode()), expected)
            }
            Self::Route(route, expected) => (wire::put::Resource::Route(route.encode()), expected),
            Self::Workspace(workspace, expected) => {
                (wire::put::Resource::Workspace(workspace.encode()), expected)
            }
        };
        wire::Put {
            resource: Some(resource),
            expected_revision: expected.map(|version| version.0),
        }
    }
}

impl Remove {
    fn decode(wire: &wire::Remove, place: &str, findings: &mut Findings) -> Option<Self> {
        let name = wire.name.as_str().into();
        let expected = wire.expected_revision.map(units::Version);
        match wire::remove::Kind::try_from(wire.kind) {
            Ok(wire::remove::Kind::Service) => Some(Self::Service(name, expected)),
            Ok(wire::remove::Kind::Route) => Some(Self::Route(name, expected)),
            Ok(wire::remove::Kind::Workspace) => Some(Self::Workspace(name, expected)),
            Ok(wire::remove::Kind::Unspecified) | Err(_) => {
                let problem = format!("unknown kind {}", wire.kind);
                findings.add(format!("{place}/kind"), problem, "1, 2 or 3");
                None
            }
        }
    }

    fn encode(&self) -> wire::Remove {
        let (kind, name, expected) = match self {
            Self::Service(name, expected) => (wire::remove::Kind::Service, name, expected),
            Self::Route(name, expected) => (wire::remove::Kind::Route, name, expected),
            Self::Workspace(name, expected) => (wire::remove::Kind::Workspace, name, expected),
        };
        wire::Remove {
            kind: kind.into(),
            name: name.to_string(),
            expected_revision: expected.map(|version| version.0),
        }
    }
}
