//! How strongly requests speak for one rate of hits being higher than another.
//!
//! Everything here is a likelihood ratio in natural logarithm, one for each alternative of
//! [`ODDS`]. Under the null hypothesis the expected value of each ratio is at most 1, so that
//! their products are evidence that may be looked at at any time.

use crate::Trials;
use crate::trials::real;

/// Odds ratios, beyond that of the null hypothesis, for which badness is looked for.
pub const ODDS: [f64; 4] = [2.0, 6.0, 25.0, 100.0];

/// One logarithm for each alternative of [`ODDS`].
pub type Logs = [f64; ODDS.len()];

/// Speaks for the odds of a hit being higher in `new` than `null` times those in `old`.
///
/// Given the totals and the number of hits in both together, the hits in `new` follow Fisher's
/// noncentral hypergeometric distribution, whatever the rate of `old` is (Fisher, "The Logic of
/// Inductive Inference", 1935). So the rate may change over time, as long as it changes for both.
/// The product over periods is a test martingale (Turner, Ly and Grünwald, "Generic E-variables
/// for Exact Sequential k-Sample Tests", 2024).
#[must_use]
pub fn contrast(old: Trials, new: Trials, null: f64) -> Logs {
    let hits = old.hits + new.hits;
    let certain = hits == 0 || old.total == 0 || new.total == 0 || hits == old.total + new.total;
    if certain {
        return [0.0; ODDS.len()];
    }
    let base = log_norm(old.total, new.total, hits, null);
    ODDS.map(|odds| {
        let norm = log_norm(old.total, new.total, hits, null * odds);
        real(new.hits) * odds.ln() - (norm - base)
    })
}

/// Logarithm of the sum of the distribution's terms, up to a factor that is the same for all odds.
fn log_norm(old: u64, new: u64, hits: u64, odds: f64) -> f64 {
    let least = hits.saturating_sub(old);
    let most = hits.min(new);
    let log_odds = odds.ln();
    let mut term = real(least) * log_odds;
    let (mut highest, mut sum) = (term, 1.0);
    for count in least..most {
        let rise = real(new - count) * real(hits - count);
        let fall = real(count + 1) * real(old + count + 1 - hits);
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

/// Speaks for the odds of a hit being higher in `new` than `null` times those of the rate
/// `reference`, where no requests to the old version can be compared at the same time.
#[must_use]
pub fn against(reference: f64, new: Trials, null: f64) -> Logs {
    let base = shift(reference, null);
    ODDS.map(|odds| {
        let higher = shift(base, odds);
        let hits = real(new.hits) * (higher / base).ln();
        let others = real(new.total - new.hits) * ((1.0 - higher) / (1.0 - base)).ln();
        hits + others
    })
}

/// The rate whose odds are `odds` times those of `rate`; never 0 or 1.
fn shift(rate: f64, odds: f64) -> f64 {
    let rate = rate.clamp(1e-6, 0.99);
    let shifted = rate * odds / (1.0 - rate + rate * odds);
    shifted.clamp(1e-6, 1.0 - 1e-6)
}
