//! What arrives at a backend server beyond the first arrival of each request.

use std::time;

use units::Share;

use crate::{Repeat, Sum};

/// Arrivals at a backend server in a sliding window.
#[derive(Debug, Clone)]
pub struct Arrivals {
    /// Length of one slot.
    step: time::Duration,
    started: time::Instant,
    /// Number of the newest slot since the start.
    newest: u64,
    slots: [Sum; Self::SLOTS],
}

impl Arrivals {
    /// Slots of a window; a window that slides by whole slots is up to one slot longer.
    const SLOTS: usize = 41;

    /// Slots of a tenth of a window.
    const LATEST: u64 = 4;

    /// No arrivals, counted over `window` from `now` on.
    #[must_use]
    pub fn new(window: time::Duration, now: time::Instant) -> Self {
        let slots = u32::try_from(Self::SLOTS - 1).unwrap_or(u32::MAX);
        Self {
            step: (window / slots).max(time::Duration::from_millis(1)),
            started: now,
            newest: 0,
            slots: [Sum::default(); Self::SLOTS],
        }
    }

    /// Time since the first count.
    #[must_use]
    pub fn up(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.started)
    }

    /// A request that is `depth` calls deep reached the backend server.
    ///
    /// The weight of a first arrival falls with the square of its depth, so that the repeats of all
    /// levels of a deep call add up to less than twice those of the first level (the sum of 1/n² is
    /// below 1.65).
    pub fn add(&mut self, repeat: Repeat, depth: u32, now: time::Instant) {
        let slot = self.slot(now);
        if repeat.resent {
            slot.resent += 1;
            return;
        }
        let level = u64::from(depth) + 1;
        slot.first += 1;
        slot.earned_parts += u64::from(Share::WHOLE.parts()) / (level * level);
        slot.called_again_parts += u64::from(repeat.called_again.parts());
    }

    /// The service has so many `owners`.
    pub fn note_owners(&mut self, owners: u32, now: time::Instant) {
        let slot = self.slot(now);
        slot.owners = slot.owners.max(owners);
    }

    /// Sums over the window that ends at `now`.
    pub fn sum(&mut self, now: time::Instant) -> Sum {
        self.slide(now);
        let mut sum = Sum::default();
        for slot in &self.slots {
            sum.add(slot);
        }
        sum
    }

    /// Sums over the last tenth of the window that ends at `now`.
    pub fn latest(&mut self, now: time::Instant) -> Sum {
        self.slide(now);
        let mut sum = Sum::default();
        let oldest = self.newest.saturating_sub(Self::LATEST - 1);
        for number in oldest..=self.newest {
            sum.add(&self.slots[Self::place(number)]);
        }
        sum
    }

    fn slot(&mut self, now: time::Instant) -> &mut Sum {
        self.slide(now);
        &mut self.slots[Self::place(self.newest)]
    }

    /// Empties the slots that the window has left.
    fn slide(&mut self, now: time::Instant) {
        let number = self.up(now).as_nanos() / self.step.as_nanos();
        let number = u64::try_from(number).unwrap_or(u64::MAX);
        let passed = number.saturating_sub(self.newest);
        let emptied = passed.min(Self::SLOTS as u64);
        for offset in 1..=emptied {
            self.slots[Self::place(self.newest + offset)] = Sum::default();
        }
        self.newest = self.newest.max(number);
    }

    fn place(number: u64) -> usize {
        // Below the number of slots.
        #[allow(clippy::cast_possible_truncation)]
        let place = (number % Self::SLOTS as u64) as usize;
        place
    }
}
