//! Checks of a configuration and of a change to it.

use super::Snapshot;
use crate::{Change, Findings, Limits, Put, Refusal, Remove, Route};

impl Snapshot {
    /// Compares the revisions that the change expects with those held.
    pub(super) fn check_expected(&self, change: &Change) -> Result<(), Refusal> {
        let mut findings = Findings::default();
        for (index, put) in change.puts.iter().enumerate() {
            let (held, expected) = match put {
                Put::Service(service, expected) => (self.service_revision(&service.name), expected),
                Put::Route(route, expected) => (self.route_revision(&route.name), expected),
                Put::Workspace(workspace, expected) => {
                    (self.workspace_revision(&workspace.name), expected)
                }
            };
            compare(&put.place(index), held, *expected, &mut findings);
        }
        for (index, remove) in change.removes.iter().enumerate() {
            let (held, expected) = match remove {
                Remove::Service(name, expected) => (self.service_revision(name), expected),
                Remove::Route(name, expected) => (self.route_revision(name), expected),
                Remove::Workspace(name, expected) => (self.workspace_revision(name), expected),
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

    /// Checks the resources that the change brings, and that it names each once.
    pub(super) fn check_resources(&self, change: &Change, findings: &mut Findings) {
        change.check(findings);
        for (index, put) in change.puts.iter().enumerate() {
            let place = put.place(index);
            match put {
                Put::Service(service, _) => service.check(&place, findings),
                Put::Route(route, _) => route.check(&place, findings),
                Put::Workspace(workspace, _) => {
                    workspace.check(&place, findings);
                    workspace.check_given(&place, findings);
                }
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
    pub(super) fn check_whole(&self, findings: &mut Findings) {
        for route in self.routes() {
            self.check_reference(route, findings);
        }
        self.check_ambiguous(findings);
        self.check_counts(findings);
    }

    /// Checks what spans resources where `change` touches it; the rest was right before.
    pub(super) fn check_touched(&self, change: &Change, findings: &mut Findings) {
        for put in &change.puts {
            if let Put::Route(route, _) = put {
                self.check_reference(route, findings);
                self.check_ambiguity(route, findings);
            }
        }
        let gone = |name: &str| {
            let removed = change.removes.iter().any(|one| match one {
                Remove::Service(removed, _) => removed == name,
                Remove::Route(..) | Remove::Workspace(..) => false,
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

    pub(super) fn check_counts(&self, findings: &mut Findings) {
        let (services, routes) = (self.services().len(), self.routes().len());
        let workspaces = self.workspaces().len();
        if workspaces > Limits::WORKSPACES {
            let expected = format!("at most {}", Limits::WORKSPACES);
            findings.add("/workspaces", format!("{workspaces} workspaces"), expected);
        }
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
    pub(super) fn check_order(&self, findings: &mut Findings) {
        let orders = [
            ("/services", self.services.is_sorted()),
            ("/routes", self.routes.is_sorted()),
            ("/workspaces", self.workspaces.is_sorted()),
        ];
        for (place, sorted) in orders {
            if !sorted {
                findings.add(place, "they are out of order", "sorted by name, each once");
            }
        }
    }
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
        (Put::Workspace(one, _), Put::Workspace(other, _)) => one.name == other.name,
        _ => false,
    }
}
