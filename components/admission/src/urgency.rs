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
    /// Mean latencies within which an answer is counted on: with one, half of those that are let
    /// through at the last moment would be late.
    const LATENCIES: u32 = 2;

    /// When a request that starts at `start` is certain enough to be answered.
    #[must_use]
    pub fn due(start: time::Instant, latency: time::Duration) -> time::Instant {
        start + latency * Self::LATENCIES
    }

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
        due: time::Instant,
    ) -> Option<T> {
        self.entries.push((urgency, element));
        if self.entries.len() <= limit {
            return None;
        }
        let ranked = self.entries.iter().enumerate();
        let last = ranked.max_by_key(|(_, entry)| rank(&entry.0, due));
        let place = last.map(|(place, _)| place)?;
        Some(self.entries.remove(place).1)
    }

    /// Takes the most urgent element; `due` is when it would be answered.
    pub fn pop(&mut self, due: time::Instant) -> Option<T> {
        let ranked = self.entries.iter().enumerate();
        let first = ranked.min_by_key(|(_, entry)| rank(&entry.0, due));
        let place = first.map(|(place, _)| place)?;
        Some(self.entries.remove(place).1)
    }

    /// Takes out what cannot be in time any more, where `enough` elements wait that can: it would
    /// only wait longer for its refusal.
    pub fn shed_late(&mut self, due: time::Instant, enough: usize) -> Vec<T> {
        let is_late = |entry: &(Urgency, T)| due > entry.0.target;
        let late = self.entries.iter().filter(|entry| is_late(entry)).count();
        if late == 0 || self.entries.len() - late < enough {
            return Vec::new();
        }
        let shed = self.entries.extract_if(.., |entry| is_late(entry));
        shed.map(|entry| entry.1).collect()
    }

    /// Elements that go before one of this urgency.
    #[must_use]
    pub fn ahead(&self, urgency: &Urgency, due: time::Instant) -> usize {
        let own = rank(urgency, due);
        let ranks = self.entries.iter().map(|entry| rank(&entry.0, due));
        ranks.filter(|rank| *rank <= own).count()
    }

    /// Drops elements that are not wanted any more.
    pub fn retain(&mut self, wanted: impl Fn(&T) -> bool) {
        self.entries.retain(|entry| wanted(&entry.1));
    }
}

/// Rank in the queue, the lowest first: those in time, by priority, by when they are due.
fn rank(urgency: &Urgency, due: time::Instant) -> (bool, u32, time::Instant) {
    let late = due > urgency.target;
    let by = if late {
        urgency.deadline
    } else {
        urgency.target
    };
    (late, urgency.priority, by)
}
