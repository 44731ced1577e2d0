//! Settings of the request path.

use serde::{Deserialize, Serialize};

units::record! {
    /// Settings of the request path.
    #[derive(Default, Serialize, Deserialize, schemars::JsonSchema)]
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
        /// For experiments only: round robin with three unconditional retries and no limits.
        pub baseline: bool,
    }
}
