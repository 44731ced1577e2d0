//! Where the bound of repeats stands at an owner.

use crate::Sum;

units::record! {
    /// Where the bound of repeats stands at an owner.
    #[derive(Copy)]
    pub struct Budget {
        /// What arrived in the window.
        pub arrived: Sum,
        /// Resent requests that the window may hold.
        pub limit: f64,
    }
}
