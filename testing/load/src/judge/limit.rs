//! Whether backend servers got no more than the rate that they had named.

use radishgap_backend::Run;

/// Milliseconds over which arrivals are counted.
const WINDOW_MS: u64 = 4_000;
/// Milliseconds from the first answer that names the rate until it has to be kept.
const CONTACT_MS: u64 = 3_000;
/// What a window may hold: a multiple of the rate, and some more.
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;

/// A window in which a backend server got too much.
pub(super) struct Overrun<'r> {
    /// The last run of the window.
    pub(super) run: &'r Run,
    /// Runs that began in it.
    pub(super) got: usize,
    /// Runs that may have.
    pub(super) allowed: f64,
}

/// The first window of each backend server in which it got too much.
pub(super) fn overruns<'r>(runs: &[&'r Run]) -> Vec<Overrun<'r>> {
    let mut limited: Vec<_> = runs.iter().filter(|run| run.rate_limit.is_some()).collect();
    limited.sort_by_key(|run| (run.instance, run.start));
    let of_one = limited.chunk_by(|one, other| one.instance == other.instance);
    of_one.filter_map(overrun).collect()
}

fn overrun<'r>(runs: &[&&'r Run]) -> Option<Overrun<'r>> {
    let bound_from = runs.first()?.start.0 + CONTACT_MS;
    let mut first = 0;
    for (last, run) in runs.iter().enumerate() {
        while runs[first].start.0 + WINDOW_MS <= run.start.0 {
            first += 1;
        }
        let got = last - first + 1;
        let rate = run.rate_limit?.0;
        let allowed = FACTOR * rate * seconds(WINDOW_MS) + SLACK;
        if run.start.0 >= bound_from && count(got) > allowed {
            return Some(Overrun { run, got, allowed });
        }
    }
    None
}

// Both are far below 2^52.
#[allow(clippy::cast_precision_loss)]
fn seconds(millis: u64) -> f64 {
    millis as f64 / 1_000.0
}

#[allow(clippy::cast_precision_loss)]
fn count(number: usize) -> f64 {
    number as f64
}
