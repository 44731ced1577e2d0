//! Era of the store from which the state of a node has been kept.

use std::cell;
use std::time;

use platform::Era;

/// Era of the store from which the state of this node has been kept, by itself or by a node that it has it
/// from.
///
/// A store that comes back from a copy has lost the latest changes of the eras before; only a state that
/// has been kept since one of them contains those changes.
#[derive(Debug)]
pub(crate) struct Origin {
    era: cell::Cell<Option<Era>>,
    /// When this node started.
    started: time::Instant,
}

impl Origin {
    /// Creates the origin of a node that starts at `now` without any state.
    pub(crate) fn new(now: time::Instant) -> Self {
        Self {
            era: cell::Cell::default(),
            started: now,
        }
    }

    /// Era from which the state has been kept; `None` until something was read.
    pub(crate) fn era(&self) -> Option<Era> {
        self.era.get()
    }

    /// Records that the state contains what was read, or kept, from `era` on.
    pub(crate) fn record(&self, era: Era) {
        let earliest = self.era.get().map_or(era, |known| known.min(era));
        self.era.set(Some(earliest));
    }

    /// Whether the state contains what the store, which is in `era` now, may have lost.
    pub(crate) fn is_before(&self, era: Era) -> bool {
        era == Era::default() || self.era.get().is_some_and(|origin| origin < era)
    }

    /// Time since this node started.
    pub(crate) fn age(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.started)
    }
}
