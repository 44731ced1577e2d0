//! Blocks of requests to both versions over the same time.

use std::time;

use crate::Trials;

/// Requests to both versions over the same time, collected until there are enough to compare.
#[derive(Debug, Clone, Default)]
pub(crate) struct Block {
    old: Trials,
    new: Trials,
    start: Option<time::Instant>,
}

impl Block {
    /// Requests to the old version in a full block. A comparison with fewer has little power, since
    /// the old version's rate is then not known.
    const MIN_REQUESTS: u64 = 40;
    /// Longest time over which a block is collected.
    const MAX_DURATION: time::Duration = time::Duration::from_secs(3);

    /// Adds requests; returns the whole block once it is complete.
    ///
    /// Completion depends on the number of requests and on the time, never on the hits, which would
    /// bias the comparison.
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
        let start = *self.start.get_or_insert(now);
        let has_expired = now.saturating_duration_since(start) >= Self::MAX_DURATION;
        if self.old.total < Self::MIN_REQUESTS && !has_expired {
            return None;
        }
        let block = std::mem::take(self);
        Some((block.old, block.new))
    }
}
