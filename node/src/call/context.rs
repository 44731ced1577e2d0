//! State of other services that the request path reads.

use std::rc;

use super::{Headers, Native, Settings};

/// State of other services that the request path reads; clones share it.
#[derive(Clone)]
pub struct Context<D = Native> {
    /// This node.
    pub node: units::Node,
    /// Data centre of this node.
    pub data_centre: units::DataCentre,
    /// Configuration in force.
    pub holder: distribution::Holder,
    /// How certain it is that the configuration in force is the newest one.
    pub certainty: relay::Certainty,
    /// Members of the mesh.
    pub members: membership::Reader,
    /// Versions that receive no traffic at present.
    pub withheld: routing::Withheld,
    /// Traffic splits of services whose versions the configuration does not list.
    pub splits: routing::Splits,
    /// Versions that use only some of their backend servers.
    pub focus: routing::Focus,
    /// Evacuated data centres.
    pub evacuations: routing::Evacuations,
    /// Regions of data centres.
    pub regions: routing::Regions,
    /// Quotas of workspaces.
    pub quota: quota::Handle,
    /// Protocol dialect of callers and backend servers.
    pub dialect: D,
    /// Settings of the request path.
    pub settings: rc::Rc<Settings>,
}

impl<D> Context<D> {
    /// Adds the version of this node's configuration to a message for another node.
    pub(crate) fn write_configuration_version(&self, headers: &mut http::HeaderMap) {
        let version = self.holder.get().version();
        Headers::set_number(headers, Headers::CONFIGURATION, version.0);
    }

    /// Processes the configuration version in a message from another node.
    pub(crate) fn apply_configuration_version(&self, headers: &http::HeaderMap) {
        if let Some(version) = Headers::number(headers, &Headers::CONFIGURATION) {
            self.holder.hear(units::Version(version));
        }
    }
}
