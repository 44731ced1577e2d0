//! What stood in the way of a request.

use std::time;

units::record! { eq:
    /// What stood in the way of a request when it was refused.
    #[derive(Copy, Default)]
    pub struct Crowd {
        /// Requests that ran.
        pub running: usize,
        /// Requests that waited.
        pub waiting: usize,
        /// Requests that may run at a time.
        pub limit: usize,
        /// Wait that was expected for this one.
        pub wait: time::Duration,
        /// Time that requests of its route usually run.
        pub runtime: time::Duration,
    }
}
