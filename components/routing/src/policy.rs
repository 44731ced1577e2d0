//! Parameters of the choice of backend servers.

use serde::{Deserialize, Serialize};

/// Which backend server a request goes to.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Placing {
    /// The own data centre first, until it is crowded.
    #[default]
    Nearest,
    /// Where the answer is due soonest; the own data centre while that costs little.
    Soonest,
}

units::record! {
    /// Parameters of the choice of backend servers.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct Policy {
        /// Which backend server a request goes to.
        pub placing: Placing,
        /// Cost of another data centre as a multiple of the own one's, where the answer that is due
        /// soonest decides.
        pub away_cost: f64,
        /// What each KiB of a request and its answer adds to that cost.
        pub away_cost_kib: f64,
        /// Time over which a new backend server grows to its full share.
        pub slow_start: units::Period,
        /// Failures in a row after which a backend server is ejected.
        pub eject_failures: u32,
        /// First ejection; each further one in a row is twice as long.
        pub eject_base: units::Period,
        /// Longest ejection.
        pub eject_limit: units::Period,
        /// Largest share of a group that may be ejected at a time.
        pub eject_share: units::Share,
        /// Load of a backend server above which another data centre may get the request.
        pub spill_load: units::Share,
        /// Time for which the load that an owner has reported counts.
        pub load_lifetime: units::Period,
        /// Time over which a measured latency loses most of its weight.
        pub latency_decay: units::Period,
        /// Time for which the owners of keyed requests are remembered after they are gone.
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
