//! Calls to the platform by kind.

units::record! { eq:
    /// Calls that were sent to the platform, by kind, and those that were held back.
    #[derive(Copy, Default, serde::Serialize)]
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
        /// Calls that our own limit held back; they were not sent.
        pub held_back: u64,
        /// Calls that the open circuit breaker refused; they were not sent.
        pub broken: u64,
        /// Calls that the platform refused for their rate.
        pub throttled: u64,
        /// Calls that the platform did not execute.
        pub unavailable: u64,
        /// Calls whose answer was lost.
        pub unknown: u64,
        /// Era of the store.
        pub era: u64,
        /// Bytes of values and answers received.
        pub received_bytes: u64,
        /// Bytes of values sent.
        pub sent_bytes: u64,
    }
}

impl Counts {
    /// Calls that were sent.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.reads + self.writes + self.removes + self.lists + self.watches
    }
}
