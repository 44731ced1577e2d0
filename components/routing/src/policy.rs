//! Parameters of the choice of a backend server.

use serde::{Deserialize, Serialize};

/// Rule by which the backend server of a request is chosen.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Placing {
    /// Prefers the own data centre until its backend servers are close to their limits.
    #[default]
    Nearest,
    /// Chooses the earliest expected answer; prefers the own data centre while that costs little.
    Soonest,
    /// Chooses the earliest expected answer by the work left that the owners report.
    LeastWork,
}

units::record! {
    /// Parameters of the choice of a backend server.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct Policy {
        /// Rule by which the backend server of a request is chosen.
        pub placing: Placing,
        /// Cost of backend servers in another data centre as a multiple of the cost in the own one; used
        /// only with the placings `soonest` and `least_work`.
        pub away_cost: f64,
        /// Amount added to `away_cost` for each KiB of a request and its answer.
        pub away_cost_kib: f64,
        /// Time over which the share of a new backend server grows to the full one.
        pub slow_start: units::Period,
        /// Number of consecutive failures after which a backend server is ejected.
        pub eject_failures: u32,
        /// Duration of the first ejection; each further consecutive one is twice as long.
        pub eject_base: units::Period,
        /// Longest duration of an ejection.
        pub eject_limit: units::Period,
        /// Largest share of a group that may be ejected at the same time.
        pub eject_share: units::Share,
        /// Load of a backend server above which another data centre may get the request.
        pub spill_load: units::Share,
        /// Time for which a load reported by an owner is used.
        pub load_lifetime: units::Period,
        /// Time over which a measured latency loses most of its weight.
        pub latency_decay: units::Period,
        /// Time for which the owners of keyed requests are remembered after they have left.
        pub key_window: units::Period,
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            placing: Placing::default(),
            away_cost: 1.25,
            away_cost_kib: 0.1,
            slow_start: units::Period::from_secs(10),
            eject_failures: 5,
            eject_base: units::Period::from_millis(1_000),
            eject_limit: units::Period::from_secs(30),
            eject_share: units::Share::from_parts(5_000).unwrap_or_default(),
            spill_load: units::Share::from_parts(8_000).unwrap_or_default(),
            load_lifetime: units::Period::from_millis(1_000),
            latency_decay: units::Period::from_secs(5),
            key_window: units::Period::from_secs(60),
        }
    }
}
