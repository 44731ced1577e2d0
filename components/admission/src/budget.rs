//! Retry budget of an owner in the current window.

use crate::Sum;

units::record! {
    /// Arrivals at an owner in the current window and the limit on retries.
    #[derive(Copy)]
    pub struct Budget {
        /// Arrivals in the window.
        pub arrived: Sum,
        /// Number of retries allowed in the window.
        pub limit: f64,
    }
}
