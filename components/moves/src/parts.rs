//! What the moves service uses of the rest of the process.

use crate::Settings;

/// What the moves service uses of the rest of the process.
#[derive(Clone)]
pub struct Parts<S, L> {
    /// Id of this node.
    pub node: units::Node,
    /// Data centre of this node.
    pub data_centre: units::DataCentre,
    /// Settings of moves.
    pub settings: Settings,
    /// The platform's object API.
    pub store: S,
    /// Sends requests to other nodes.
    pub link: L,
    /// The configuration that this node holds.
    pub holder: distribution::Holder,
    /// Takes changes to the configuration.
    pub distribution: kernel::Mailbox<distribution::Command>,
    /// The members of the mesh.
    pub members: membership::Reader,
    /// Versions that get no traffic from this node; only this service adds to it.
    pub withheld: routing::Withheld,
    /// Versions that use only some of their backend servers; only this service adds to it.
    pub focus: routing::Focus,
}
