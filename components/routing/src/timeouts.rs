//! Timeouts with which the callers of a route send their requests.

use std::time;

/// Timeouts with which the callers of a route send their requests, to tell a repeated request from a first
/// one.
///
/// A caller that sends a request again has only the rest of its timeout left. First attempts share a few
/// usual timeouts, while what is left for repeated ones is spread over a wide range. A histogram with bins
/// that grow geometrically, in which old requests lose their weight, tells the two apart.
#[derive(Debug, Default)]
pub(crate) struct Timeouts {
    /// Bins with requests, sorted by index.
    bins: Vec<Bin>,
    /// Total weight of the bins.
    total: f64,
}

/// Requests whose timeouts are close to each other.
#[derive(Debug)]
struct Bin {
    index: u32,
    weight: f64,
    /// Moving average of the timeouts, in milliseconds.
    mean_ms: f64,
}

impl Timeouts {
    /// Ratio of the upper to the lower bound of a bin.
    const BIN_RATIO: f64 = 1.03;
    /// Total weight from which timeouts are compared.
    const MIN_TOTAL: f64 = 64.0;
    /// Total weight at which all weights are halved.
    const MAX_TOTAL: f64 = 512.0;
    /// Weight below which a bin is removed.
    const MIN_WEIGHT: f64 = 0.5;
    /// Weight of a bin of usual timeouts as a fraction of the weight of the heaviest bin.
    const USUAL_FRACTION: f64 = 0.5;
    /// Weight of a new timeout in the mean of its bin.
    const SMOOTHING: f64 = 0.05;

    /// Records the timeout of a request and returns the time that its caller has probably spent on earlier
    /// attempts: what the timeout lacks of the next longer usual one, or zero if it is a usual one itself.
    pub(crate) fn observe(&mut self, timeout: time::Duration) -> time::Duration {
        let millis = (timeout.as_secs_f64() * 1_000.0).max(1.0);
        let position = self.record(millis);
        let usual_weight = self.usual_weight();
        if self.total < Self::MIN_TOTAL || self.bins[position].weight >= usual_weight {
            return time::Duration::ZERO;
        }
        let longer = &self.bins[position + 1..];
        let usual_ms = mean_of_first_run(longer, usual_weight).unwrap_or(millis);
        time::Duration::from_secs_f64((usual_ms - millis).max(0.0) / 1_000.0)
    }

    /// Weight from which the timeouts of a bin are usual ones.
    fn usual_weight(&self) -> f64 {
        let weights = self.bins.iter().map(|bin| bin.weight);
        weights.fold(0.0, f64::max) * Self::USUAL_FRACTION
    }

    /// Adds a timeout to its bin and returns the position of the bin.
    fn record(&mut self, millis: f64) -> usize {
        if self.total >= Self::MAX_TOTAL {
            self.halve();
        }
        // The logarithm of a number of at least one is not negative, and small.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let index = millis.log(Self::BIN_RATIO) as u32;
        let position = self.bins.partition_point(|bin| bin.index < index);
        if self.bins.get(position).is_none_or(|bin| bin.index != index) {
            let bin = Bin {
                index,
                weight: 0.0,
                mean_ms: millis,
            };
            self.bins.insert(position, bin);
        }
        let bin = &mut self.bins[position];
        bin.weight += 1.0;
        bin.mean_ms += (millis - bin.mean_ms) * Self::SMOOTHING;
        self.total += 1.0;
        position
    }

    /// Halves the weight of all requests so far.
    fn halve(&mut self) {
        for bin in &mut self.bins {
            bin.weight /= 2.0;
        }
        self.bins.retain(|bin| bin.weight >= Self::MIN_WEIGHT);
        self.total = self.bins.iter().map(|bin| bin.weight).sum();
    }
}

/// Returns the mean timeout of the first run of adjacent bins with at least `usual_weight`, in milliseconds;
/// `None` if there is no such bin.
fn mean_of_first_run(bins: &[Bin], usual_weight: f64) -> Option<f64> {
    let first = bins.iter().position(|bin| bin.weight >= usual_weight)?;
    let run = bins[first..].iter().zip(bins[first].index..);
    let run = run.take_while(|(bin, index)| bin.index == *index && bin.weight >= usual_weight);
    let (mut weight, mut sum) = (0.0, 0.0);
    for (bin, _) in run {
        weight += bin.weight;
        sum += bin.weight * bin.mean_ms;
    }
    Some(sum / weight)
}
