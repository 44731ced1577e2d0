//! What the request path reads from other services.

use std::rc;

use super::{Headers, Native, Settings};

/// What the request path reads from other services; clones share it.
#[derive(Clone)]
pub struct Context<D = Native> {
    /// This node.
    pub node: units::Node,
    /// Its data centre.
    pub data_centre: units::DataCentre,
    /// Configuration in force.
    pub holder: distribution::Holder,
    /// Members of the mesh.
    pub members: membership::Reader,
    /// Versions that get nothing now.
    pub withheld: routing::Withheld,
    /// Versions of services whose versions the configuration does not list.
    pub splits: routing::Splits,
    /// Versions that use only some of their backend servers.
    pub focus: routing::Focus,
    /// How callers and backend servers speak.
    pub dialect: D,
    /// Settings of the request path.
    pub settings: rc::Rc<Settings>,
}

impl<D> Context<D> {
    /// Says on a message to another node which configuration this node holds.
    pub(crate) fn tell_configuration(&self, headers: &mut http::HeaderMap) {
        let version = self.holder.get().version();
        Headers::set_number(headers, Headers::CONFIGURATION, version.0);
    }

    /// Takes what another node says of the configuration that it holds.
    pub(crate) fn hear_configuration(&self, headers: &http::HeaderMap) {
        if let Some(version) = Headers::number(headers, &Headers::CONFIGURATION) {
            self.holder.hear(units::Version(version));
        }
    }
}
