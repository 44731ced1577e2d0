//! Time since the machine started, with the time for which it was suspended.

use std::ops;
use std::time;

use rustix::time::ClockId;

/// Time since the machine started, with the time for which it was suspended; of use on one machine only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Uptime(pub time::Duration);

impl Uptime {
    /// The current time.
    #[must_use]
    pub fn now() -> Self {
        let now = rustix::time::clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
        Self(time::Duration::new(seconds, nanos))
    }

    /// Time from `earlier` to this one; zero where it is later.
    #[must_use]
    pub fn saturating_since(self, earlier: Self) -> time::Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The time that was `duration` earlier; `None` where the machine had not started yet.
    #[must_use]
    pub fn checked_sub(self, duration: time::Duration) -> Option<Self> {
        self.0.checked_sub(duration).map(Self)
    }
}

impl ops::Add<time::Duration> for Uptime {
    type Output = Self;

    fn add(self, duration: time::Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}
