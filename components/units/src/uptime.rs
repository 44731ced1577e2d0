//! Time since the start of the machine.

use std::ops;
use std::time;

use rustix::time as clock;

/// Time since the start of the machine, the time in which it was suspended included.
///
/// `time::Instant` stands still while the machine is suspended, so that a lease would live on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Uptime(pub time::Duration);

impl Uptime {
    /// The current time.
    #[must_use]
    pub fn now() -> Self {
        let now = clock::clock_gettime(clock::ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
        Self(time::Duration::new(seconds, nanos))
    }

    /// Time that has passed since.
    #[must_use]
    pub fn elapsed(self) -> time::Duration {
        Self::now().saturating_since(self)
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
