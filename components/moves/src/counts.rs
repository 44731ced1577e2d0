//! Request counts of one version on one route.

use std::time;

use schema::moves as wire;

use crate::Histogram;

/// Request counts of one version on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of requests.
    pub requests: u64,
    /// Number of failed requests.
    pub failures: u64,
    /// Sum of the latencies.
    pub latency: time::Duration,
    /// Latencies of the requests that did not fail.
    pub histogram: Histogram,
}

impl Counts {
    /// Counts one request. The histogram leaves out failed requests, since failing can be fast.
    pub fn add(&mut self, failed: bool, latency: time::Duration) {
        self.requests += 1;
        self.latency += latency;
        if failed {
            self.failures += 1;
        } else {
            self.histogram.add(latency);
        }
    }

    /// Adds the requests of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        self.failures += other.failures;
        self.latency += other.latency;
        self.histogram.merge(&other.histogram);
    }

    /// Whether there are no requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests == 0
    }

    /// Mean latency in milliseconds; zero without requests.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        if self.requests == 0 {
            return 0.0;
        }
        // Counts stay far below 2^52.
        #[allow(clippy::cast_precision_loss)]
        let requests = self.requests as f64;
        self.latency.as_secs_f64() * 1_000.0 / requests
    }

    /// The wire form.
    #[must_use]
    pub fn encode(&self) -> wire::Counts {
        let clamp = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        let pairs = self.histogram.filled();
        let pairs =
            pairs.flat_map(|(bucket, count)| [u32::try_from(bucket).unwrap_or_default(), count]);
        wire::Counts {
            requests: clamp(self.requests),
            failures: clamp(self.failures),
            latency_us: u64::try_from(self.latency.as_micros()).unwrap_or(u64::MAX),
            buckets: pairs.collect(),
        }
    }

    /// Reads the wire form; failures are limited to the number of requests.
    #[must_use]
    pub fn decode(wire: &wire::Counts) -> Self {
        let mut histogram = Histogram::default();
        for pair in wire.buckets.chunks_exact(2) {
            histogram.add_count(usize::try_from(pair[0]).unwrap_or(usize::MAX), pair[1]);
        }
        Self {
            requests: u64::from(wire.requests),
            failures: u64::from(wire.failures.min(wire.requests)),
            latency: time::Duration::from_micros(wire.latency_us),
            histogram,
        }
    }
}
