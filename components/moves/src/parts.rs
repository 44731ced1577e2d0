//! Dependencies of the moves service.

use crate::Settings;

/// Dependencies of the moves service on the rest of the process.
#[derive(Clone)]
pub struct Parts<S, L> {
    /// Id of this node.
    pub node: units::Node,
    /// Data centre of this node.
    pub data_centre: units::DataCentre,
    /// Settings of moves.
    pub settings: Settings,
    /// Object API of the platform.
    pub store: S,
    /// Link for requests to other nodes.
    pub link: L,
    /// Configuration held by this node.
    pub holder: distribution::Holder,
    /// Mailbox for configuration changes.
    pub distribution: kernel::Mailbox<distribution::Command>,
    /// Members of the mesh.
    pub members: membership::Reader,
    /// Versions that this node withholds; only this service adds to the list.
    pub withheld: routing::Withheld,
    /// Versions concentrated on a subset of their backend servers; only this service adds to the list.
    pub focus: routing::Focus,
}
