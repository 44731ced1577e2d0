//! Settings of admission.

use serde::{Deserialize, Serialize};

units::record! {
    /// Limits on the requests that an owner admits to its backend server.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct Settings {
        /// Order in which queued requests are admitted.
        pub order: crate::Order,
        /// Maximum wait in the queue.
        pub queue_wait: units::Period,
        /// Maximum length of the queue, as a multiple of the announced slots.
        pub queue_slots: u32,
        /// Whether the concurrency limit adapts to the latency; otherwise all announced slots are used.
        pub adaptive: bool,
        /// Latency above which the concurrency limit is lowered, as a multiple of the usual latency.
        pub latency_tolerance: f64,
        /// Latency above that multiple that is tolerated before the concurrency limit is lowered.
        ///
        /// Smaller changes of latency are caused by the machine rather than by the backend server.
        pub latency_slack: units::Period,
        /// Retry budget of the service.
        pub repeats: crate::Allowance,
        /// Maximum number of requests that an ingress has in flight, over all services.
        pub ingress_requests: usize,
        /// Time for which a request that was in flight in a crash stays a suspect.
        pub suspect_period: units::Period,
        /// Time for which a request that was in flight in two crashes is refused.
        pub quarantine: units::Period,
        /// Maximum number of suspects that are remembered.
        pub suspects: usize,
        /// Time for which an idempotency key is remembered after its request has ended.
        pub key_window: units::Period,
        /// Maximum number of idempotency keys that are remembered.
        pub keys: usize,
        /// Maximum size of an answer that is kept for retries with the same idempotency key.
        pub key_answer: units::Size,
        /// Maximum total size of the kept answers.
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
