//! The file that `apply` and `diff` take.

use std::fs;
use std::path;

use compact_str::CompactString;
use config::{Change, Put, Remove, Route, Service, Workspace};
use error_stack::Report;
use findings::Findings;

use crate::Failure;

units::record! {
    /// The file that `apply` and `diff` take.
    #[derive(serde::Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Document {
        /// Services to create or replace.
        #[serde(default)]
        pub services: Vec<Service>,
        /// Routes to create or replace.
        #[serde(default)]
        pub routes: Vec<Route>,
        /// Workspaces to create or replace.
        #[serde(default)]
        pub workspaces: Vec<Workspace>,
        /// Resources to remove.
        #[serde(default)]
        pub remove: Removal,
    }

    /// Names of the resources to remove.
    #[derive(Default, serde::Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Removal {
        /// Names of services.
        #[serde(default)]
        #[schemars(with = "Vec<String>")]
        pub services: Vec<CompactString>,
        /// Names of routes.
        #[serde(default)]
        #[schemars(with = "Vec<String>")]
        pub routes: Vec<CompactString>,
        /// Names of workspaces.
        #[serde(default)]
        #[schemars(with = "Vec<String>")]
        pub workspaces: Vec<CompactString>,
    }
}

impl settings::Document for Document {
    fn check(&self, findings: &mut Findings) {
        for (index, service) in self.services.iter().enumerate() {
            service.check(&format!("/services/{index}"), findings);
        }
        for (index, route) in self.routes.iter().enumerate() {
            route.check(&format!("/routes/{index}"), findings);
        }
        for (index, workspace) in self.workspaces.iter().enumerate() {
            let place = format!("/workspaces/{index}");
            workspace.check(&place, findings);
            workspace.check_given(&place, findings);
        }
        let workspaces = self.workspaces.iter().map(|one| &one.name);
        check_unique("/workspaces", workspaces.collect(), findings);
        self.check_shared_keys(findings);
        let services = self.services.iter().map(|one| &one.name);
        check_unique("/services", services.collect(), findings);
        let routes = self.routes.iter().map(|one| &one.name);
        check_unique("/routes", routes.collect(), findings);
        if self.count() == 0 || self.count() > config::Limits::RESOURCES {
            let expected = format!("1 to {} resources", config::Limits::RESOURCES);
            findings.add("", format!("{} resources", self.count()), expected);
        }
    }
}

fn check_unique(place: &str, names: Vec<&CompactString>, findings: &mut Findings) {
    for (index, name) in names.iter().enumerate() {
        if names[..index].contains(name) {
            let problem = format!("`{name}` stands twice");
            findings.add(format!("{place}/{index}/name"), problem, "each name once");
        }
    }
}

impl Document {
    /// Loads and checks the file.
    ///
    /// # Errors
    /// [`Failure::Unreadable`], or [`Failure::Invalid`] with every finding.
    pub fn load(file: &path::Path) -> Result<Self, Report<Failure>> {
        let text = fs::read_to_string(file).map_err(|error| {
            Report::new(Failure::Unreadable {
                file: file.to_owned(),
                problem: error.to_string(),
            })
        })?;
        settings::parse(&text).map_err(|findings| {
            Report::new(Failure::Invalid {
                file: file.to_owned(),
                findings,
            })
        })
    }

    /// The change that the file asks for.
    #[must_use]
    pub fn change(&self, operation: units::Operation) -> Change {
        let services = self.services.iter().map(|service| {
            let expected = expected(service.revision);
            Put::Service(service.clone(), expected)
        });
        let routes = self.routes.iter().map(|route| {
            let expected = expected(route.revision);
            Put::Route(route.clone(), expected)
        });
        let workspaces = self.workspaces.iter().map(|workspace| {
            let expected = expected(workspace.revision);
            Put::Workspace(workspace.clone(), expected)
        });
        let gone_workspaces = self.remove.workspaces.iter().cloned();
        let gone_services = self.remove.services.iter().cloned();
        let gone_routes = self.remove.routes.iter().cloned();
        Change {
            operation,
            puts: services.chain(routes).chain(workspaces).collect(),
            removes: gone_services
                .map(|name| Remove::Service(name, None))
                .chain(gone_routes.map(|name| Remove::Route(name, None)))
                .chain(gone_workspaces.map(|name| Remove::Workspace(name, None)))
                .collect(),
            author: CompactString::const_new("radishgapctl"),
        }
    }

    /// A node's findings on the change, with their places in the file.
    #[must_use]
    pub fn locate(&self, found: &[schema::config::Finding]) -> Findings {
        let mut findings = Findings::default();
        for one in found {
            let place = self.pointer(&one.place);
            findings.add(place, one.problem.as_str(), one.expected.as_str());
        }
        findings
    }

    /// Turns a place such as `/puts/3/route/host` into `/routes/1/host`.
    fn pointer(&self, place: &str) -> String {
        let mut parts = place.splitn(4, '/').skip(1);
        let list = parts.next().unwrap_or_default();
        let index: Option<usize> = parts.next().and_then(|text| text.parse().ok());
        let rest = parts.next().unwrap_or_default();
        let (Some(index), true) = (index, matches!(list, "puts" | "removes")) else {
            return place.to_owned();
        };
        let (name, index) = if list == "puts" {
            let lengths = [self.services.len(), self.routes.len()];
            split(index, lengths, ["/services", "/routes", "/workspaces"])
        } else {
            let lengths = [self.remove.services.len(), self.remove.routes.len()];
            let names = ["/remove/services", "/remove/routes", "/remove/workspaces"];
            split(index, lengths, names)
        };
        // What follows names the kind of resource once more, which the list's name says already.
        let field = rest.split_once('/').map_or("", |(_, field)| field);
        if field.is_empty() {
            format!("{name}/{index}")
        } else {
            format!("{name}/{index}/{field}")
        }
    }

    /// Reports keys that stand in two workspaces of the file.
    fn check_shared_keys(&self, findings: &mut Findings) {
        for (index, workspace) in self.workspaces.iter().enumerate() {
            let before = &self.workspaces[..index];
            for (place, key) in workspace.keys.iter().enumerate() {
                if let Some(other) = before.iter().find(|other| other.keys.contains(key)) {
                    let problem = format!("it is a key of `{}`, too", other.name);
                    let place = format!("/workspaces/{index}/keys/{place}");
                    findings.add(place, problem, "each key in one workspace");
                }
            }
        }
    }

    fn count(&self) -> usize {
        let puts = self.services.len() + self.routes.len() + self.workspaces.len();
        let services_and_routes = self.remove.services.len() + self.remove.routes.len();
        puts + services_and_routes + self.remove.workspaces.len()
    }
}

/// The list that holds entry `index` of three lists put together, and the index in it; `lengths` are
/// those of the first two.
fn split(index: usize, lengths: [usize; 2], names: [&'static str; 3]) -> (&'static str, usize) {
    let mut index = index;
    for (length, name) in lengths.into_iter().zip(names) {
        match index.checked_sub(length) {
            None => return (name, index),
            Some(rest) => index = rest,
        }
    }
    (names[2], index)
}

/// A revision in the file is the one that the system must still hold.
fn expected(revision: units::Version) -> Option<units::Version> {
    (revision.0 > 0).then_some(revision)
}
