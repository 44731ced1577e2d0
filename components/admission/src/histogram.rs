//! Distribution of runtimes.

use std::time;

/// Distribution of the recent runtimes of a route, in bins whose widths grow by a constant factor.
#[derive(Debug, Clone)]
pub struct Histogram {
    bins: [u16; Self::BINS],
    /// Moving average of the logarithm of the runtime in milliseconds.
    log_mean: f64,
    runs: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            bins: [0; Self::BINS],
            log_mean: 0.0,
            runs: 0,
        }
    }
}

impl Histogram {
    /// Number of bins; with the ratio they cover 1 ms to 34 s.
    const BINS: usize = 32;
    /// Ratio of the bounds of a bin.
    const RATIO: f64 = 1.4;
    /// Number of runtimes at which all counts are halved, so that the distribution follows changes.
    const MAX_TOTAL: u32 = 1_024;
    /// Maximum number of runs behind the typical runtime: some seconds of a busy server, so that a short
    /// slow-down has little effect.
    const MAX_RUNS: u32 = 99;

    /// Records a runtime.
    pub fn add(&mut self, runtime: time::Duration) {
        let millis = millis(runtime).max(1.0);
        let index = Self::index(millis).min(Self::BINS - 1);
        self.bins[index] += 1;
        if self.total() >= Self::MAX_TOTAL {
            self.bins.iter_mut().for_each(|count| *count /= 2);
        }
        self.runs = (self.runs + 1).min(Self::MAX_RUNS);
        self.log_mean += (millis.ln() - self.log_mean) / f64::from(self.runs);
    }

    /// Returns the typical runtime, the geometric mean, on which single long runs have little effect.
    #[must_use]
    pub fn typical(&self) -> time::Duration {
        if self.runs == 0 {
            return time::Duration::ZERO;
        }
        duration(self.log_mean.exp())
    }

    /// Returns the number of recent runs behind the typical runtime.
    #[must_use]
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Returns the expected rest of a run of this `age`; a run longer than all others is expected to take
    /// as long again.
    #[must_use]
    pub fn rest(&self, age: time::Duration) -> time::Duration {
        let age = millis(age);
        let (mut count, mut sum) = (0.0, 0.0);
        let mut low = 0.0;
        let mut high = 1.0;
        for bin in self.bins {
            if high > age {
                // The part of the bin above the age, if its runtimes are spread evenly.
                let from = f64::max(low, age);
                let part = f64::from(bin) * (high - from) / (high - low);
                count += part;
                sum += part * (from + high) / 2.0;
            }
            low = high;
            high *= Self::RATIO;
        }
        if count == 0.0 {
            return if self.runs == 0 {
                time::Duration::ZERO
            } else {
                duration(age)
            };
        }
        duration((sum / count - age).max(0.0))
    }

    /// Returns the index of the bin of a runtime of at least one millisecond; it may exceed the last one.
    fn index(millis: f64) -> usize {
        // Positive and small.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let index = (millis.ln() / Self::RATIO.ln()) as usize;
        index + 1
    }

    fn total(&self) -> u32 {
        self.bins.iter().map(|count| u32::from(*count)).sum()
    }
}

fn millis(duration: time::Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn duration(millis: f64) -> time::Duration {
    time::Duration::from_secs_f64(millis / 1_000.0)
}
