//! Settings of the request path.

use serde::{Deserialize, Serialize};

units::record! {
    /// Settings of the request path.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct Settings {
        /// Choice of backend servers.
        pub choice: routing::Policy,
        /// Connections to other nodes and to the backend server.
        pub upstream: upstream::Settings,
        /// Admission of requests at an owner.
        pub admission: admission::Settings,
        /// Retries.
        pub retry: super::Retry,
        /// Whether the target of a repeated request counts from its caller's first attempt, which is
        /// inferred from the timeouts that the callers of the route set.
        pub infer_first_attempts: bool,
        /// For experiments only: round robin with three unconditional retries and no limits.
        pub baseline: bool,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            choice: routing::Policy::default(),
            upstream: upstream::Settings::default(),
            admission: admission::Settings::default(),
            retry: super::Retry::default(),
            infer_first_attempts: true,
            baseline: false,
        }
    }
}
