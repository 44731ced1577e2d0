//! Results of single requests, for the evaluation of versions.

use std::time;

use compact_str::CompactString;

units::record! {
    /// Result of one request, as seen by the ingress.
    pub struct Sample {
        /// Service that ran the request.
        pub service: CompactString,
        /// Version that ran the request.
        pub version: CompactString,
        /// Route that matched the request.
        pub route: CompactString,
        /// Whether the version failed the request: a status of 5xx, a crash, or no answer by the deadline.
        ///
        /// Refusals that are not the version's fault, such as a full queue, are not observed.
        pub failed: bool,
        /// Time from the attempt's start to the last byte of the answer.
        pub latency: time::Duration,
    }
}

/// Receiver of samples; called on the request path, so implementations have to be cheap.
pub trait Observer: Clone + 'static {
    /// Records one sample.
    fn observe(&self, sample: &Sample);
}
