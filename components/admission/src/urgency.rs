//! Queue by what can still be answered in time.

use std::time;

units::record! { eq:
    /// How urgent a request is.
    #[derive(Copy)]
    pub struct Urgency {
        /// Rank of its route; zero goes first.
        pub priority: u32,
        /// When an answer is wanted; one that comes later is worth little.
        pub target: time::Instant,
        /// When it has to be finished.
        pub deadline: time::Instant,
        /// Time that requests of its route usually run.
        pub expected: time::Duration,
    }
}

impl Urgency {
    /// Usual times within which an answer is counted on: with one, half of those that are let
    /// through at the last moment would be late.
    const TIMES: u32 = 2;

    /// Whether it can no longer be counted on to meet its target when it starts at `now`.
    #[must_use]
    pub fn is_late(&self, now: time::Instant) -> bool {
        now + self.expected * Self::TIMES > self.target
    }
}

/// Queue by priority and by what can still be answered in time.
///
/// The load that it answers: more requests than the slots can run by their targets. Requests that can
/// still meet their target go first, by priority and then by the earlier target (earliest deadline
/// first; C. Liu and J. Layland, 1973). Those that cannot any more take what room is left, so that
/// they do not make the ones behind them late too.
#[derive(Debug)]
pub struct Queue<T> {
    entries: Vec<(Urgency, T)>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        let entries = Vec::new();
        Self { entries }
    }
}

impl<T> Queue<T> {
    /// Number of waiting elements.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an element; with `limit` elements waiting the least urgent one has to go. Returns it.
    pub fn push(
        &mut self,
        urgency: Urgency,
        element: T,
        limit: usize,
        now: time::Instant,
    ) -> Option<T> {
        self.entries.push((urgency, element));
        if self.entries.len() <= limit {
            return None;
        }
        let ranked = self.entries.iter().enumerate();
        let last = ranked.max_by_key(|(_, entry)| rank(&entry.0, now));
        let place = last.map(|(place, _)| place)?;
        Some(self.entries.remove(place).1)
    }

    /// Takes the most urgent element.
    pub fn pop(&mut self, now: time::Instant) -> Option<T> {
        let ranked = self.entries.iter().enumerate();
        let first = ranked.min_by_key(|(_, entry)| rank(&entry.0, now));
        let place = first.map(|(place, _)| place)?;
        Some(self.entries.remove(place).1)
    }

    /// Takes out what cannot be in time any more, where `enough` elements wait that can: it would
    /// only wait longer for its refusal.
    pub fn shed_late(&mut self, now: time::Instant, enough: usize) -> Vec<T> {
        let is_late = |entry: &(Urgency, T)| entry.0.is_late(now);
        let late = self.entries.iter().filter(|entry| is_late(entry)).count();
        if late == 0 || self.entries.len() - late < enough {
            return Vec::new();
        }
        let shed = self.entries.extract_if(.., |entry| is_late(entry));
        shed.map(|entry| entry.1).collect()
    }

    /// Takes out those of which `fits` says no, told their urgency and how many of those that stay go
    /// before them.
    pub fn shed_unless(
        &mut self,
        now: time::Instant,
        fits: impl Fn(&Urgency, usize) -> bool,
    ) -> Vec<T> {
        self.entries.sort_by_key(|entry| rank(&entry.0, now));
        let mut ahead = 0;
        let shed = self.entries.extract_if(.., |entry| {
            let stays = fits(&entry.0, ahead);
            ahead += usize::from(stays);
            !stays
        });
        shed.map(|entry| entry.1).collect()
    }

    /// Elements that go before one of this urgency.
    #[must_use]
    pub fn ahead(&self, urgency: &Urgency, now: time::Instant) -> usize {
        let own = rank(urgency, now);
        let ranks = self.entries.iter().map(|entry| rank(&entry.0, now));
        ranks.filter(|rank| *rank <= own).count()
    }

    /// Drops elements that are not wanted any more.
    pub fn retain(&mut self, wanted: impl Fn(&T) -> bool) {
        self.entries.retain(|entry| wanted(&entry.1));
    }
}

/// Rank in the queue, the lowest first: those in time, by priority, by when they are due.
fn rank(urgency: &Urgency, now: time::Instant) -> (bool, u32, time::Instant) {
    let late = urgency.is_late(now);
    let by = if late {
        urgency.deadline
    } else {
        urgency.target
    };
    (late, urgency.priority, by)
}
