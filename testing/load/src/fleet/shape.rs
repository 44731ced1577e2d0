//! What a mesh consists of.

use compact_str::CompactString;
use radishgap_backend::{ColdStart, Faults, ServiceTime};

units::record! {
    /// One VM: a node, and a backend server beside it where it has one.
    pub struct Site {
        /// Id of the node.
        pub node: units::Node,
        /// Data centre of the VM.
        pub data_centre: units::DataCentre,
        /// Service of the backend server, and its version.
        pub backend: Option<(units::Service, CompactString)>,
    }

    /// What a mesh consists of.
    pub struct Shape {
        /// Region of all data centres.
        pub region: units::DataCentre,
        /// The VMs.
        pub sites: Vec<Site>,
        /// Slots of each backend server.
        pub slots: u32,
        /// Connections of each backend server.
        pub connections: u32,
        /// Time that a request takes.
        pub service_time: ServiceTime,
        /// Behaviour after a start.
        pub cold_start: ColdStart,
        /// Time that a backend server takes to leave.
        pub drain: units::Period,
        /// Faults of each backend server from the start on.
        pub faults: Faults,
        /// Delay of each direction of a relay in front of each backend server; without it there is
        /// no relay.
        pub relayed: Option<units::Period>,
        /// Level of all logs.
        pub log_level: telemetry::Level,
        /// Further settings of the nodes.
        pub further: serde_json::Map<String, serde_json::Value>,
        /// Seed of the stand-ins.
        pub seed: u64,
    }
}

impl Site {
    /// A VM with a backend server.
    ///
    /// # Errors
    /// A name that is not one.
    pub fn new(
        node: &str,
        data_centre: &str,
        service: &str,
        version: &str,
    ) -> Result<Self, units::Error> {
        Ok(Self {
            node: node.parse()?,
            data_centre: data_centre.parse()?,
            backend: Some((service.parse()?, version.into())),
        })
    }

    /// A VM with a node alone.
    ///
    /// # Errors
    /// A name that is not one.
    pub fn bare(node: &str, data_centre: &str) -> Result<Self, units::Error> {
        Ok(Self {
            node: node.parse()?,
            data_centre: data_centre.parse()?,
            backend: None,
        })
    }
}

impl Shape {
    /// A mesh of `sites` with the slots and connections of the users' Fiji region.
    ///
    /// # Errors
    /// A region that is not a name.
    pub fn new(region: &str, sites: Vec<Site>) -> Result<Self, units::Error> {
        Ok(Self {
            region: region.parse()?,
            sites,
            slots: 20,
            connections: 120,
            service_time: ServiceTime::default(),
            cold_start: ColdStart::default(),
            drain: units::Period::from_secs(3),
            faults: Faults::default(),
            relayed: None,
            log_level: telemetry::Level::Info,
            further: serde_json::Map::new(),
            seed: 1,
        })
    }

    /// Sets `key` in one section of the nodes' settings.
    pub fn set(&mut self, section: &str, key: &str, value: impl Into<serde_json::Value>) {
        let empty = || serde_json::Map::new().into();
        let section = self.further.entry(section).or_insert_with(empty);
        if let Some(section) = section.as_object_mut() {
            section.insert(key.to_owned(), value.into());
        }
    }
}
