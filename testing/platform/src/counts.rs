//! Calls by kind.

units::record! { eq:
    /// Calls by kind; refused ones count too, for the platform counts each call.
    #[derive(Copy, Default, serde::Serialize, serde::Deserialize)]
    pub struct Counts {
        /// Reads of one object.
        pub reads: u64,
        /// Creates and updates.
        pub writes: u64,
        /// Removes.
        pub removes: u64,
        /// Lists of a prefix.
        pub lists: u64,
        /// Watches; one that waits counts once.
        pub watches: u64,
        /// Calls of any kind that were refused for their rate.
        pub throttled: u64,
        /// Calls of any kind that an outage refused.
        pub refused: u64,
        /// Writes that took effect and whose answer was lost.
        pub lost: u64,
    }
}
