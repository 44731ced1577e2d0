//! What a node knows of itself from its settings.

units::record! { eq:
    /// What a node knows of itself from its settings.
    #[derive(serde::Serialize)]
    pub struct Identity {
        /// Its id, stable over restarts.
        pub node: units::Node,
        /// Its data centre.
        pub data_centre: units::DataCentre,
        /// Its region.
        pub region: compact_str::CompactString,
        /// Where it takes control messages.
        pub peer_address: units::Address,
        /// Where it takes requests from other nodes, by HTTP/2.
        pub mesh_address: units::Address,
    }
}
