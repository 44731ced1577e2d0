//! What one request to a version of a service showed.

use std::time;

use compact_str::CompactString;

units::record! {
    /// What one request showed, as the node saw it that took it from the caller.
    pub struct Sample {
        /// Service that ran it.
        pub service: CompactString,
        /// Version that ran it.
        pub version: CompactString,
        /// Route that matched it.
        pub route: CompactString,
        /// Whether the version failed it: a status of 5xx, a crash, or no answer by the deadline.
        ///
        /// Refusals that are not the version's fault, such as a full queue, are not observed.
        pub failed: bool,
        /// Time from the attempt's start to the last byte of the answer.
        pub latency: time::Duration,
    }
}

/// Takes samples; called on the request path, so that it has to be cheap.
pub trait Observer: Clone + 'static {
    /// Takes one sample.
    fn observe(&self, sample: &Sample);
}
