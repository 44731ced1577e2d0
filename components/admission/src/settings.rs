//! Bounds of what an owner lets through.

use serde::{Deserialize, Serialize};

units::record! {
    /// Bounds of what an owner lets through to its backend server.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct Settings {
        /// Order in which waiting requests are let through.
        pub order: crate::Order,
        /// Longest wait in the queue.
        pub queue_wait: units::Period,
        /// Longest queue, as a multiple of the announced slots.
        pub queue_slots: u32,
        /// Whether the limit adapts to the latency; without it all announced slots are used.
        pub adaptive: bool,
        /// Latency above which the limit falls, as a multiple of the usual latency.
        pub latency_tolerance: f64,
        /// Latency beyond that multiple up to which the limit does not fall.
        ///
        /// Below it a change of latency says more about the machine than about the backend server.
        pub latency_slack: units::Period,
        /// Repeats that the service bears.
        pub repeats: crate::Allowance,
        /// Requests of all services that an ingress has in flight at a time.
        pub ingress_requests: usize,
        /// Time for which a request that was in flight in a crash stays a suspect.
        pub suspect_period: units::Period,
        /// Time for which a request that was in flight in two crashes is refused.
        pub quarantine: units::Period,
        /// Most suspects that are remembered.
        pub suspects: usize,
        /// Time for which an idempotency key is remembered after its request ended.
        pub key_window: units::Period,
        /// Most idempotency keys that are remembered.
        pub keys: usize,
        /// Largest answer that is kept for resends with the same key.
        pub key_answer: units::Size,
        /// Bytes of all kept answers.
        pub key_answers: units::Size,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            order: crate::Order::default(),
            queue_wait: units::Period::from_millis(100),
            queue_slots: 4,
            adaptive: true,
            latency_tolerance: 2.0,
            latency_slack: units::Period::from_millis(10),
            repeats: crate::Allowance::default(),
            ingress_requests: 1_024,
            suspect_period: units::Period::from_secs(600),
            quarantine: units::Period::from_secs(600),
            suspects: 1_024,
            key_window: units::Period::from_secs(60),
            keys: 100_000,
            key_answer: units::Size(64 * 1024),
            key_answers: units::Size(32 * 1024 * 1024),
        }
    }
}
