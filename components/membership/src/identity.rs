//! Identity of a node.

units::record! { eq:
    /// Identity of a node, as configured in its settings.
    #[derive(serde::Serialize)]
    pub struct Identity {
        /// Id of the node, stable across restarts.
        pub node: units::Node,
        /// Data centre of the node.
        pub data_centre: units::DataCentre,
        /// Region of the node.
        pub region: compact_str::CompactString,
        /// Address for control messages.
        pub peer_address: units::Address,
        /// Address for requests from other nodes over HTTP/2.
        pub mesh_address: units::Address,
    }
}
