//! Differences between a file and what a node holds.

use std::fmt;

use config::{Route, Service, Snapshot};

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
        /// Name of the resource.
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
            let held = held.service(&service.name).map(describe);
            lines.extend(line(
                "service",
                &service.name,
                held,
                Some(describe(service)),
            ));
        }
        for route in &document.routes {
            let held = held.route(&route.name).map(rule);
            lines.extend(line("route", &route.name, held, Some(rule(route))));
        }
        for name in &document.remove.services {
            let held = held.service(name).map(describe);
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

/// Everything that a service says, on one line; what has its default is left out.
fn describe(service: &Service) -> String {
    let mut text = shares(service);
    append(&mut text, "connections", &service.connections);
    append(&mut text, "health path", &service.health_path);
    append(&mut text, "warm-up rate", &service.warmup_rate);
    append(&mut text, "warm-up", &service.warmup);
    text
}

/// Everything that a route says, on one line; from `attempts` on, what has its default is left out.
fn rule(route: &Route) -> String {
    let host = if route.host.is_empty() {
        "*"
    } else {
        &route.host
    };
    let public = if route.public { ", public" } else { "" };
    let mut text = format!(
        "{host}{} -> {}, timeout {}, idempotency {:?}, max_body {}{public}",
        route.path_prefix, route.service, route.timeout, route.idempotency, route.max_body
    );
    append(&mut text, "attempts", &route.attempts);
    append(&mut text, "target", &route.target);
    append(&mut text, "priority", &route.priority);
    let parts = route.split.iter();
    let split: Vec<_> = parts
        .map(|part| format!("{} {}", part.service, part.weight))
        .collect();
    append(&mut text, "split", &split.join(" "));
    append(&mut text, "homes", &route.homes.join(" "));
    text
}

/// Appends a field, unless it has the default of its type.
fn append<T: Default + PartialEq + fmt::Display>(text: &mut String, name: &str, value: &T) {
    if *value != T::default() {
        text.push_str(&format!(", {name} {value}"));
    }
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
