//! Time that a request waits while its service has no backend server.

use std::time;

/// Policy for the time that a request waits while its service has no backend server.
///
/// The policy covers a power loss and the replacement of all backend servers of a service. All
/// callers then send at once, most of them retry only once, and the first backend servers are known
/// a few hundred milliseconds later. A node that has just started cannot know that there is no
/// backend server.
#[derive(Debug, Clone, Copy)]
pub struct WaitPolicy {
    started: time::Instant,
}

impl WaitPolicy {
    /// Time after the start during which a node may not know the backend servers yet.
    const STARTUP_PERIOD: time::Duration = time::Duration::from_secs(2);
    /// Fraction of the remaining time (1/n) that a request waits during that time.
    const STARTUP_DIVISOR: u32 = 2;
    /// Fraction of the time to the target (1/n) that a request waits later; a longer wait would
    /// keep its caller from choosing a better node.
    const DIVISOR: u32 = 8;

    /// Creates the policy of a node that started at `started`.
    #[must_use]
    pub fn new(started: time::Instant) -> Self {
        Self { started }
    }

    /// Returns the time that a request arriving at `now` waits, given the time left until its
    /// target and until its deadline.
    #[must_use]
    pub fn wait(
        &self,
        now: time::Instant,
        time_to_target: time::Duration,
        time_left: time::Duration,
    ) -> time::Duration {
        if now.saturating_duration_since(self.started) < Self::STARTUP_PERIOD {
            time_left / Self::STARTUP_DIVISOR
        } else {
            time_to_target.min(time_left) / Self::DIVISOR
        }
    }
}
