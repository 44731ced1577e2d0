//! Evidence that one rate of hits is higher than another.
//!
//! All functions return natural logarithms of likelihood ratios, one for each alternative of
//! [`ODDS_RATIOS`]. Under the null hypothesis the expected value of each ratio is at most 1, so
//! their products are evidence that may be checked at any time (e-values).

use crate::Trials;
use crate::trials::as_f64;

/// Odds ratios of the alternatives, relative to that of the null hypothesis.
pub const ODDS_RATIOS: [f64; 4] = [2.0, 6.0, 25.0, 100.0];

/// Logarithms of the likelihood ratios, one for each alternative of [`ODDS_RATIOS`].
pub type LogRatios = [f64; ODDS_RATIOS.len()];

/// Evidence that the odds of a hit in `new` exceed `null` times those in `old`.
///
/// Given the totals and the number of hits in both together, the hits in `new` follow Fisher's
/// noncentral hypergeometric distribution, whatever the rate of `old` is (Fisher, "The Logic of
/// Inductive Inference", 1935). The rate may therefore change over time, as long as it changes for both.
/// The product over periods is a test martingale (Turner, Ly and Grünwald, "Generic E-variables
/// for Exact Sequential k-Sample Tests", 2024).
#[must_use]
pub fn two_sample(old: Trials, new: Trials, null: f64) -> LogRatios {
    let hits = old.hits + new.hits;
    let is_determined =
        hits == 0 || old.total == 0 || new.total == 0 || hits == old.total + new.total;
    if is_determined {
        return [0.0; ODDS_RATIOS.len()];
    }
    let null_norm = log_norm(old.total, new.total, hits, null);
    ODDS_RATIOS.map(|odds| {
        let norm = log_norm(old.total, new.total, hits, null * odds);
        as_f64(new.hits) * odds.ln() - (norm - null_norm)
    })
}

/// Logarithm of the sum of the distribution's terms, up to a factor that is the same for all odds.
fn log_norm(old: u64, new: u64, hits: u64, odds: f64) -> f64 {
    let lowest_count = hits.saturating_sub(old);
    let highest_count = hits.min(new);
    let log_odds = odds.ln();
    let mut term = as_f64(lowest_count) * log_odds;
    let (mut highest, mut sum) = (term, 1.0);
    for count in lowest_count..highest_count {
        let rise = as_f64(new - count) * as_f64(hits - count);
        let fall = as_f64(count + 1) * as_f64(old + count + 1 - hits);
        term += (rise / fall).ln() + log_odds;
        if term <= highest {
            sum += (term - highest).exp();
        } else {
            sum = sum * (highest - term).exp() + 1.0;
            highest = term;
        }
    }
    highest + sum.ln()
}

/// Evidence that the odds of a hit in `new` exceed `null` times those of the rate `reference`, for
/// use when there are no requests to the old version over the same time.
#[must_use]
pub fn one_sample(reference: f64, new: Trials, null: f64) -> LogRatios {
    let base = scale_odds(reference, null);
    ODDS_RATIOS.map(|odds| {
        let higher = scale_odds(base, odds);
        let hits = as_f64(new.hits) * (higher / base).ln();
        let misses = as_f64(new.total - new.hits) * ((1.0 - higher) / (1.0 - base)).ln();
        hits + misses
    })
}

/// The rate whose odds are `odds` times those of `rate`; never 0 or 1.
fn scale_odds(rate: f64, odds: f64) -> f64 {
    let rate = rate.clamp(1e-6, 0.99);
    let shifted = rate * odds / (1.0 - rate + rate * odds);
    shifted.clamp(1e-6, 1.0 - 1e-6)
}
