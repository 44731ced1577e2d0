//! Arrivals at a backend server: first arrivals, retries, and calls made by repeated runs.

use std::time;

use units::Share;

use crate::sum::add_parts;
use crate::{Repeat, Sum};

/// Counts of arrivals at a backend server in a sliding window.
#[derive(Debug, Clone)]
pub struct Arrivals {
    /// Duration of one slot.
    slot_length: time::Duration,
    started: time::Instant,
    /// Number of the newest slot, counted from the start.
    newest: u64,
    slots: [Sum; Self::SLOTS],
}

impl Arrivals {
    /// Number of slots in a window. A window that slides by whole slots is up to one slot longer than
    /// configured.
    const SLOTS: usize = 41;

    /// Number of slots in a tenth of a window.
    const LATEST_SLOTS: u64 = 4;

    /// Creates an empty count over `window` that starts at `now`.
    #[must_use]
    pub fn new(window: time::Duration, now: time::Instant) -> Self {
        let slots = u32::try_from(Self::SLOTS - 1).unwrap_or(u32::MAX);
        Self {
            slot_length: (window / slots).max(time::Duration::from_millis(1)),
            started: now,
            newest: 0,
            slots: [Sum::default(); Self::SLOTS],
        }
    }

    /// Time since counting started.
    #[must_use]
    pub fn uptime(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.started)
    }

    /// Counts a request that arrives at call depth `depth`.
    ///
    /// The weight of a first arrival decreases with the square of its depth, so that the repeats at all
    /// levels of a deep call chain add up to less than twice those of the first level (the sum of 1/n²
    /// is below 1.65).
    pub fn add(&mut self, repeat: Repeat, depth: u32, now: time::Instant) {
        let slot = self.slot(now);
        if repeat.resent {
            slot.resent += 1;
            return;
        }
        let level = u64::from(depth) + 1;
        slot.first += 1;
        slot.weighted_first_parts += u64::from(Share::WHOLE.parts()) / (level * level);
        add_parts(&mut slot.called_again_parts, repeat.called_again.parts());
    }

    /// Records the number of owners of the service.
    pub fn record_owners(&mut self, owners: u32, now: time::Instant) {
        let slot = self.slot(now);
        slot.owners = slot.owners.max(owners);
    }

    /// Sums arrivals over the window that ends at `now`.
    pub fn sum(&mut self, now: time::Instant) -> Sum {
        self.advance(now);
        let mut sum = Sum::default();
        for slot in &self.slots {
            sum.add(slot);
        }
        sum
    }

    /// Sums arrivals over the last tenth of the window that ends at `now`.
    pub fn latest(&mut self, now: time::Instant) -> Sum {
        self.advance(now);
        let mut sum = Sum::default();
        let oldest = self.newest.saturating_sub(Self::LATEST_SLOTS - 1);
        for number in oldest..=self.newest {
            sum.add(&self.slots[Self::index(number)]);
        }
        sum
    }

    fn slot(&mut self, now: time::Instant) -> &mut Sum {
        self.advance(now);
        &mut self.slots[Self::index(self.newest)]
    }

    /// Advances the window to `now` and clears the slots that have left it.
    fn advance(&mut self, now: time::Instant) {
        let number = self.uptime(now).as_nanos() / self.slot_length.as_nanos();
        let number = u64::try_from(number).unwrap_or(u64::MAX);
        let passed = number.saturating_sub(self.newest);
        let emptied = passed.min(Self::SLOTS as u64);
        for offset in 1..=emptied {
            self.slots[Self::index(self.newest + offset)] = Sum::default();
        }
        self.newest = self.newest.max(number);
    }

    fn index(number: u64) -> usize {
        // The remainder is below the number of slots.
        #[allow(clippy::cast_possible_truncation)]
        let index = (number % Self::SLOTS as u64) as usize;
        index
    }
}
