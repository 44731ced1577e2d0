//! Latencies and other times.

use std::time;

use serde::Serialize;

/// Times from a microsecond to ten minutes, with three digits.
#[derive(Debug, Clone)]
pub struct Histogram {
    inner: hdrhistogram::Histogram<u64>,
}

/// Quantiles of a histogram, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of times.
    pub count: u64,
    /// Half of them are below.
    pub p50_ms: f64,
    /// 90 in 100 are below.
    pub p90_ms: f64,
    /// 99 in 100 are below.
    pub p99_ms: f64,
    /// 999 in 1,000 are below.
    pub p999_ms: f64,
    /// The largest.
    pub max_ms: f64,
}

impl Histogram {
    /// Largest time, in microseconds; larger ones count as this.
    const LARGEST_US: u64 = 600_000_000;
    /// Significant digits.
    const DIGITS: u8 = 3;

    /// An empty histogram.
    ///
    /// # Panics
    /// Never: the bounds are valid.
    #[must_use]
    pub fn new() -> Self {
        let inner = hdrhistogram::Histogram::new_with_max(Self::LARGEST_US, Self::DIGITS)
            .expect("valid bounds");
        Self { inner }
    }

    /// Adds a time.
    pub fn add(&mut self, time: time::Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.inner.saturating_record(micros.max(1));
    }

    /// The quantiles.
    #[must_use]
    pub fn quantiles(&self) -> Quantiles {
        // At most ten minutes in microseconds.
        #[allow(clippy::cast_precision_loss)]
        let at = |quantile| self.inner.value_at_quantile(quantile) as f64 / 1_000.0;
        Quantiles {
            count: self.inner.len(),
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: at(1.0),
        }
    }

    /// Points (milliseconds, share of the times that are at most that) for a plot.
    #[must_use]
    pub fn points(&self) -> Vec<(f64, f64)> {
        const STEPS: u32 = 200;
        let point = |step| {
            let quantile = f64::from(step) / f64::from(STEPS);
            // At most ten minutes in microseconds.
            #[allow(clippy::cast_precision_loss)]
            let millis = self.inner.value_at_quantile(quantile) as f64 / 1_000.0;
            (millis, quantile)
        };
        (0..=STEPS).map(point).collect()
    }
}

impl Default for Histogram {
    fn default() -> Self {
        Self::new()
    }
}

impl FromIterator<time::Duration> for Histogram {
    fn from_iter<I: IntoIterator<Item = time::Duration>>(times: I) -> Self {
        let mut histogram = Self::new();
        for time in times {
            histogram.add(time);
        }
        histogram
    }
}
