//! What a request is expected to cost.

units::record! {
    /// What a request is expected to cost, from earlier requests on its route.
    #[derive(Copy, Default)]
    pub struct Demand {
        /// Bytes of the request and its answer.
        pub bytes: f64,
        /// Typical runtime over all backend servers, in milliseconds; zero if it is not known.
        pub work_ms: f64,
    }
}

impl From<f64> for Demand {
    /// A request of so many bytes whose runtime is not known.
    fn from(bytes: f64) -> Self {
        Self {
            bytes,
            work_ms: 0.0,
        }
    }
}
