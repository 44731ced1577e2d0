//! What the request path reads from other services.

use std::rc;

use super::{Native, Settings};

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
