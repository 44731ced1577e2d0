//! Occupancy at the time of a refusal.

use std::time;

units::record! { eq:
    /// Occupancy of the backend server and its queue when a request was refused.
    #[derive(Copy, Default)]
    pub struct Occupancy {
        /// Running requests.
        pub running: usize,
        /// Queued requests.
        pub waiting: usize,
        /// Concurrency limit.
        pub limit: usize,
        /// Expected wait of the refused request.
        pub wait: time::Duration,
        /// Usual runtime of requests of the route.
        pub runtime: time::Duration,
    }
}
