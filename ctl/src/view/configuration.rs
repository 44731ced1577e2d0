//! The configuration that a node holds.

use config::{Route, Service};

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
    }
}

impl From<&config::Snapshot> for Configuration {
    fn from(snapshot: &config::Snapshot) -> Self {
        Self {
            version: snapshot.version().0,
            configuration: Resources {
                services: snapshot.services().to_vec(),
                routes: snapshot.routes().to_vec(),
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

/// Shares of a service's versions, such as `v1 99%, v2 1%`.
pub(super) fn shares(service: &Service) -> String {
    let share = |weight: &config::Weight| format!("{} {}", weight.version, weight.share);
    let shares: Vec<_> = service.weights.iter().map(share).collect();
    shares.join(", ")
}

impl console::Show for Configuration {
    fn table(&self) -> String {
        let version = format!("version {}", self.version);
        [version, self.services(), self.routes()].join("\n\n")
    }
}
