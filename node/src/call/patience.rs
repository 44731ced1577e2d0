//! How long a request waits for a backend server where its service has none.

use std::time;

/// How long a request waits for a backend server where its service has none.
///
/// The load that it answers: a loss of power, or the replacement of all backend servers of a service.
/// All callers come at once then, most of them come back only once, and the first backend servers are
/// known some hundred milliseconds later. A node that has just started cannot tell that there is none.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    started: time::Instant,
}

impl Patience {
    /// Time after its start in which a node may not know the backend servers yet.
    const YOUNG: time::Duration = time::Duration::from_secs(2);
    /// Part of the time left that a request waits at a young node.
    const YOUNG_PART: u32 = 2;
    /// Part of the time until an answer is wanted that it waits later; more would keep its caller from
    /// a better place.
    const PART: u32 = 8;

    /// Of a node that started at `started`.
    #[must_use]
    pub fn new(started: time::Instant) -> Self {
        Self { started }
    }

    /// How long a request that comes `now` waits, of which an answer is wanted within `wanted` and has
    /// to be there within `left`.
    #[must_use]
    pub fn wait(
        &self,
        now: time::Instant,
        wanted: time::Duration,
        left: time::Duration,
    ) -> time::Duration {
        if now.saturating_duration_since(self.started) < Self::YOUNG {
            left / Self::YOUNG_PART
        } else {
            wanted.min(left) / Self::PART
        }
    }
}
