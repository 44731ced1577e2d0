//! Requests to both versions over the same time.

use std::time;

use crate::Trials;

/// Requests to both versions over the same time, collected until they can be compared.
#[derive(Debug, Clone, Default)]
pub(crate) struct Block {
    old: Trials,
    new: Trials,
    since: Option<time::Instant>,
}

impl Block {
    /// Requests to the old version that are compared at a time. A comparison with fewer says
    /// little, since the rate of the old version is not known then.
    const REQUESTS: u64 = 40;
    /// Longest time over which requests are collected.
    const LONGEST: time::Duration = time::Duration::from_secs(3);

    /// Adds requests; gives back all when they are to be compared.
    ///
    /// When that is depends on the number of requests and on the time, never on the hits, so that
    /// the comparison stays fair.
    pub(crate) fn push(
        &mut self,
        old: Trials,
        new: Trials,
        now: time::Instant,
    ) -> Option<(Trials, Trials)> {
        if old.total == 0 && new.total == 0 {
            return None;
        }
        self.old.merge(old);
        self.new.merge(new);
        let since = *self.since.get_or_insert(now);
        let is_long = now.saturating_duration_since(since) >= Self::LONGEST;
        if self.old.total < Self::REQUESTS && !is_long {
            return None;
        }
        let taken = std::mem::take(self);
        Some((taken.old, taken.new))
    }
}
