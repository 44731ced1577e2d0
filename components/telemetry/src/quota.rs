//! Bound of lines a second.

use std::time;

/// Bound of lines a second; those beyond it are counted.
#[derive(Debug, Clone, Copy)]
pub struct Quota {
    most: u32,
    since: time::Instant,
    taken: u32,
    left_out: u64,
}

impl Quota {
    const SECOND: time::Duration = time::Duration::from_secs(1);

    /// Up to `most` lines a second.
    #[must_use]
    pub fn new(most: u32, now: time::Instant) -> Self {
        Self {
            most,
            since: now,
            taken: 0,
            left_out: 0,
        }
    }

    /// Whether one more line may be written at `now`.
    pub fn take(&mut self, now: time::Instant) -> bool {
        if now.saturating_duration_since(self.since) >= Self::SECOND {
            self.since = now;
            self.taken = 0;
        }
        if self.taken >= self.most {
            self.left_out += 1;
            return false;
        }
        self.taken += 1;
        true
    }

    /// Lines left out since it was last asked, once a new second has begun; zero before.
    pub fn take_left_out(&mut self, now: time::Instant) -> u64 {
        if now.saturating_duration_since(self.since) < Self::SECOND {
            return 0;
        }
        std::mem::take(&mut self.left_out)
    }
}
