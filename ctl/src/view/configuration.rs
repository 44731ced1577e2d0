//! The configuration that a node holds.

use config::{Route, Service, Workspace};

use crate::console;

units::record! {
    /// The configuration that a node holds; its resources are a file as `apply` takes it.
    #[derive(serde::Serialize)]
    pub struct Configuration {
        /// Version of the configuration.
        pub version: u64,
        /// The resources.
        pub configuration: Resources,
    }

    /// All resources.
    #[derive(serde::Serialize)]
    pub struct Resources {
        /// Services, sorted by name.
        pub services: Vec<Service>,
        /// Routes, sorted by name.
        pub routes: Vec<Route>,
        /// Workspaces, sorted by name.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub workspaces: Vec<Workspace>,
    }
}

impl From<&config::Snapshot> for Configuration {
    fn from(snapshot: &config::Snapshot) -> Self {
        Self {
            version: snapshot.version().0,
            configuration: Resources {
                services: snapshot.services().to_vec(),
                routes: snapshot.routes().to_vec(),
                workspaces: snapshot.workspaces().to_vec(),
            },
        }
    }
}

impl Configuration {
    fn services(&self) -> String {
        let mut table = console::Table::new(&["SERVICE", "SHARES", "REVISION"]);
        for service in &self.configuration.services {
            let revision = service.revision.to_string();
            table.row([service.name.to_string(), shares(service), revision]);
        }
        table.text()
    }

    fn workspaces(&self) -> String {
        let mut table = console::Table::new(&["WORKSPACE", "TERMS", "REVISION"]);
        for workspace in &self.configuration.workspaces {
            let revision = workspace.revision.to_string();
            table.row([workspace.name.to_string(), terms(workspace), revision]);
        }
        table.text()
    }

    fn routes(&self) -> String {
        let header = ["ROUTE", "HOST", "PATH", "SERVICE", "TIMEOUT", "REVISION"];
        let mut table = console::Table::new(&header);
        for route in &self.configuration.routes {
            table.row([
                route.name.to_string(),
                if route.host.is_empty() {
                    "*".to_owned()
                } else {
                    route.host.to_string()
                },
                route.path_prefix.to_string(),
                route.service.to_string(),
                route.timeout.to_string(),
                route.revision.to_string(),
            ]);
        }
        table.text()
    }
}

/// Everything that a workspace says, on one line; of its keys only their number and a mark that changes
/// with them.
pub(super) fn terms(workspace: &Workspace) -> String {
    let mut keys = workspace.keys.clone();
    keys.sort_unstable();
    let bytes: Vec<_> = keys
        .iter()
        .flat_map(config::key::Digest::as_bytes)
        .copied()
        .collect();
    let mark = xxhash_rust::xxh3::xxh3_64(&bytes) as u32;
    let mark = match keys.is_empty() {
        true => String::new(),
        false => format!(" ({mark:08x})"),
    };
    let homes = match workspace.homes.is_empty() {
        true => "all".to_owned(),
        false => workspace.homes.join(", "),
    };
    format!(
        "keys {}{mark}, rate {}, burst {}, priority {}, homes {homes}",
        keys.len(),
        workspace.rate,
        workspace.burst,
        workspace.priority
    )
}

/// Shares of a service's versions, such as `v1 99%, v2 1%`.
pub(super) fn shares(service: &Service) -> String {
    let share = |weight: &config::Weight| format!("{} {}", weight.version, weight.share);
    let shares: Vec<_> = service.weights.iter().map(share).collect();
    shares.join(", ")
}

impl console::Show for Configuration {
    fn table(&self) -> String {
        let version = format!("version {}", self.version);
        let mut parts = vec![version, self.services(), self.routes()];
        if !self.configuration.workspaces.is_empty() {
            parts.push(self.workspaces());
        }
        parts.join("\n\n")
    }
}
