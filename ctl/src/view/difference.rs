//! Differences between a file and what a node holds.

use config::{Route, Snapshot};

use super::configuration::{shares, terms};
use crate::console;
use crate::document::Document;

units::record! {
    /// Differences between a file and what a node holds.
    #[derive(serde::Serialize)]
    pub struct Difference {
        /// Version of the configuration that the node holds.
        pub version: u64,
        /// The resources that differ.
        pub lines: Vec<Line>,
    }

    /// A resource that differs.
    #[derive(serde::Serialize)]
    pub struct Line {
        /// `service`, `route` or `workspace`.
        pub kind: &'static str,
        /// Its name.
        pub name: String,
        /// What the node holds, if it holds it.
        pub held: Option<String>,
        /// What the file wants, unless it removes it.
        pub wanted: Option<String>,
    }
}

impl Difference {
    /// Compares `document` with `held`; revisions, which the system sets, are left out.
    #[must_use]
    pub fn between(document: &Document, held: &Snapshot) -> Self {
        let mut lines = Vec::new();
        for service in &document.services {
            let held = held.service(&service.name).map(shares);
            lines.extend(line("service", &service.name, held, Some(shares(service))));
        }
        for route in &document.routes {
            let held = held.route(&route.name).map(rule);
            lines.extend(line("route", &route.name, held, Some(rule(route))));
        }
        for name in &document.remove.services {
            let held = held.service(name).map(shares);
            lines.extend(line("service", name, held, None));
        }
        for name in &document.remove.routes {
            let held = held.route(name).map(rule);
            lines.extend(line("route", name, held, None));
        }
        for workspace in &document.workspaces {
            let held = held.workspace(&workspace.name).map(terms);
            let wanted = Some(terms(workspace));
            lines.extend(line("workspace", &workspace.name, held, wanted));
        }
        for name in &document.remove.workspaces {
            let held = held.workspace(name).map(terms);
            lines.extend(line("workspace", name, held, None));
        }
        Self {
            version: held.version().0,
            lines,
        }
    }

    /// Whether nothing differs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

fn line(
    kind: &'static str,
    name: &str,
    held: Option<String>,
    wanted: Option<String>,
) -> Option<Line> {
    let differs = held != wanted;
    differs.then(|| Line {
        kind,
        name: name.to_owned(),
        held,
        wanted,
    })
}

/// Everything that a route says, on one line.
fn rule(route: &Route) -> String {
    let host = if route.host.is_empty() {
        "*"
    } else {
        &route.host
    };
    let public = if route.public { ", public" } else { "" };
    format!(
        "{host}{} -> {}, timeout {}, idempotency {:?}, max_body {}{public}",
        route.path_prefix, route.service, route.timeout, route.idempotency, route.max_body
    )
}

impl console::Show for Difference {
    fn table(&self) -> String {
        if self.is_empty() {
            return format!("no difference from version {}", self.version);
        }
        let mut lines = vec![format!("differs from version {}", self.version)];
        for line in &self.lines {
            let held = line.held.iter().map(|text| ('-', text));
            let wanted = line.wanted.iter().map(|text| ('+', text));
            for (sign, text) in held.chain(wanted) {
                lines.push(format!("{sign} {} {}: {text}", line.kind, line.name));
            }
        }
        lines.join("\n")
    }
}
