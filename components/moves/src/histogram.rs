//! Histogram of latencies.

use std::time;

/// Histogram of latencies in buckets of 25% width at most, from 64 microseconds to two minutes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Histogram {
    buckets: Box<[u32; Self::BUCKETS]>,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            buckets: Box::new([0; Self::BUCKETS]),
        }
    }
}

impl Histogram {
    /// Number of buckets.
    pub const BUCKETS: usize = 84;
    /// Width of the narrowest buckets as a power of two of microseconds.
    const SHIFT: u32 = 6;
    /// Number of buckets per doubling of the latency, as a power of two.
    const SPLIT: u32 = 2;

    /// Bucket of `latency`.
    #[must_use]
    pub fn bucket(latency: time::Duration) -> usize {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        let units = micros >> Self::SHIFT;
        if units < 1 << Self::SPLIT {
            return usize::try_from(units).unwrap_or_default();
        }
        let octave = units.ilog2() - Self::SPLIT;
        // The two bits below the highest one.
        let sub_bucket = (units >> octave) & 3;
        let index = usize::try_from(u64::from((octave + 1) << Self::SPLIT) + sub_bucket);
        index.unwrap_or(usize::MAX).min(Self::BUCKETS - 1)
    }

    /// Lower bound of `bucket`.
    #[must_use]
    pub fn lower(bucket: usize) -> time::Duration {
        let bucket = u64::try_from(bucket).unwrap_or_default();
        let octave = bucket >> Self::SPLIT;
        let units = match octave {
            0 => bucket,
            _ => ((1 << Self::SPLIT) | (bucket & 3)) << (octave - 1),
        };
        time::Duration::from_micros(units << Self::SHIFT)
    }

    /// Counts one request.
    pub fn add(&mut self, latency: time::Duration) {
        self.add_count(Self::bucket(latency), 1);
    }

    /// Counts `count` requests in `bucket`; an index past the end stands for the last bucket.
    pub fn add_count(&mut self, bucket: usize, count: u32) {
        let bucket = &mut self.buckets[bucket.min(Self::BUCKETS - 1)];
        *bucket = bucket.saturating_add(count);
    }

    /// Adds the requests of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, count) in other.filled() {
            self.add_count(bucket, count);
        }
    }

    /// Halves all counts, so that later requests weigh more.
    pub fn halve(&mut self) {
        for count in self.buckets.iter_mut() {
            *count /= 2;
        }
    }

    /// Non-empty buckets and their counts.
    pub fn filled(&self) -> impl Iterator<Item = (usize, u32)> {
        let all = self.buckets.iter().copied().enumerate();
        all.filter(|(_, count)| *count > 0)
    }

    /// Number of requests.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.buckets.iter().map(|count| u64::from(*count)).sum()
    }

    /// Number of requests above `bucket`.
    #[must_use]
    pub fn count_above(&self, bucket: usize) -> u64 {
        let above = self.buckets.iter().skip(bucket + 1);
        above.map(|count| u64::from(*count)).sum()
    }

    /// Bucket that contains the quantile `quantile`, from 0 to 1; `None` without requests.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> Option<usize> {
        let total = self.total();
        let mut cumulative = 0;
        for (bucket, count) in self.filled() {
            cumulative += u64::from(count);
            // Counts stay far below 2^52.
            #[allow(clippy::cast_precision_loss)]
            if cumulative as f64 >= total as f64 * quantile {
                return Some(bucket);
            }
        }
        None
    }
}
