//! Rate limit on new connections.

use std::cell;
use std::rc;
use std::time;

use rand::Rng;

/// Rate limit on the connections that the process opens; clones share the state.
///
/// Dials beyond the limit are spread out in the order of their arrival, so that a herd of lost
/// connections does not come back at once.
#[derive(Debug, Clone)]
pub struct Dialer {
    /// Earliest start of the next dial.
    next: rc::Rc<cell::Cell<Option<time::Instant>>>,
    spacing: time::Duration,
}

impl Dialer {
    /// Dials that may start at once.
    const BURST: u32 = 20;
    /// First wait after a failed dial.
    const BACKOFF_BASE: time::Duration = time::Duration::from_millis(20);

    /// Creates a limit of `per_second` connections.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            next: rc::Rc::default(),
            spacing: time::Duration::from_secs(1) / per_second.max(1),
        }
    }

    /// Reserves the next dial; returns the time to wait before it.
    #[must_use]
    pub fn reserve(&self, now: time::Instant) -> time::Duration {
        let burst = self.spacing * Self::BURST;
        let earliest = now.checked_sub(burst).unwrap_or(now);
        let slot = self.next.get().map_or(earliest, |next| next.max(earliest));
        self.next.set(Some(slot + self.spacing));
        slot.saturating_duration_since(now)
    }

    /// Wait after `failures` failed dials in a row: exponential with full jitter, up to `limit`.
    ///
    /// See M. Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog, 2015.
    #[must_use]
    pub fn backoff(failures: u32, limit: time::Duration, rng: &mut impl Rng) -> time::Duration {
        if failures == 0 {
            return time::Duration::ZERO;
        }
        let doubled = Self::BACKOFF_BASE.saturating_mul(1 << (failures - 1).min(10));
        rng.random_range(time::Duration::ZERO..=doubled.min(limit))
    }
}
