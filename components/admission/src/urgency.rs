//! Queue by what can still be answered in time.

use std::cmp;
use std::time;

use crate::Chance;

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

    /// Whether it meets its target when it starts at `now`.
    #[must_use]
    pub fn chance(&self, now: time::Instant) -> Chance {
        if now + self.expected * Self::TIMES <= self.target {
            Chance::Good
        } else if now + self.expected <= self.target {
            Chance::Fair
        } else {
            Chance::None
        }
    }
}

/// Queue by priority and by what can still be answered in time.
///
/// The load that it answers: more requests than the slots can run by their targets. Requests that can be
/// counted on to meet their target go first, by priority and then by the earlier target (earliest
/// deadline first; C. Liu and J. Layland, 1973). Then those with a fair chance, the later target first:
/// where runs take most of the target nobody can wait, and the newest one has the best chance (B. Maurer,
/// "Fail at Scale", 2015). The others take what room is left, so that they make nobody late.
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

    /// Takes out what has less of a chance to be in time, where `enough` elements wait that have more:
    /// it would only wait longer for its refusal.
    pub fn shed_late(&mut self, now: time::Instant, enough: usize) -> Vec<T> {
        for least in [Chance::Good, Chance::Fair] {
            let is_late = |entry: &(Urgency, T)| entry.0.chance(now) > least;
            let late = self.entries.iter().filter(|entry| is_late(entry)).count();
            if self.entries.len() - late >= enough {
                let shed = self.entries.extract_if(.., |entry| is_late(entry));
                return shed.map(|entry| entry.1).collect();
            }
        }
        Vec::new()
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

/// Rank in the queue, the lowest first: by chance, by priority, by when they are due.
fn rank(urgency: &Urgency, now: time::Instant) -> (Chance, u32, Due) {
    let chance = urgency.chance(now);
    let due = match chance {
        Chance::Good => Due::Earliest(urgency.target),
        Chance::Fair => Due::Latest(cmp::Reverse(urgency.target)),
        Chance::None => Due::Earliest(urgency.deadline),
    };
    (chance, urgency.priority, due)
}

/// Which goes first among equals; one chance uses one of them only.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Earliest(time::Instant),
    Latest(cmp::Reverse<time::Instant>),
}
