//! Queue ordered by urgency.

use std::cmp;
use std::time;

use crate::Chance;

units::record! { eq:
    /// Urgency of a request.
    #[derive(Copy)]
    pub struct Urgency {
        /// Priority of the route; zero is the highest.
        pub priority: u32,
        /// Time by which an answer is useful; a later one has little value.
        pub target: time::Instant,
        /// Time by which the request has to be finished.
        pub deadline: time::Instant,
        /// Usual runtime of requests of the route.
        pub expected: time::Duration,
        /// Whether the workspace of the request has used its share.
        pub over_share: bool,
    }
}

impl Urgency {
    /// Multiple of the usual runtime that makes an answer in time likely: with one, half of the requests
    /// that are admitted at the last moment would be late.
    const RUNTIME_MULTIPLE: u32 = 2;

    /// Likelihood of meeting the target with a start at `now`.
    #[must_use]
    pub fn chance(&self, now: time::Instant) -> Chance {
        if now + self.expected * Self::RUNTIME_MULTIPLE <= self.target {
            Chance::Good
        } else if now + self.expected <= self.target {
            Chance::Fair
        } else {
            Chance::None
        }
    }
}

/// Queue ordered by the likelihood of an answer in time, then by priority.
///
/// Designed for overload, with more requests than the slots can run by their targets. Requests with a good
/// chance of meeting their target are first, by priority and then by the earlier target (earliest deadline
/// first; C. Liu and J. Layland, 1973). Requests with a fair chance follow, the later target first: where
/// runs take most of the target no request can wait, and the newest one has the best chance (B. Maurer,
/// "Fail at Scale", 2015). The others use the remaining capacity, so that they delay no other request.
/// Among equal chances and priorities, requests of workspaces over their share are last.
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
    /// Number of queued elements.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no element is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an element; with `limit` elements queued, evicts and returns the least urgent one.
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
        let index = last.map(|(index, _)| index)?;
        Some(self.entries.remove(index).1)
    }

    /// Removes the most urgent element.
    pub fn pop(&mut self, now: time::Instant) -> Option<T> {
        let ranked = self.entries.iter().enumerate();
        let first = ranked.min_by_key(|(_, entry)| rank(&entry.0, now));
        let index = first.map(|(index, _)| index)?;
        Some(self.entries.remove(index).1)
    }

    /// Removes the elements with a lower chance of being in time if at least `enough` elements have a higher
    /// one; the removed elements would only wait longer for a refusal.
    pub fn shed_late(&mut self, now: time::Instant, enough: usize) -> Vec<T> {
        for worst_kept in [Chance::Good, Chance::Fair] {
            let is_late = |entry: &(Urgency, T)| entry.0.chance(now) > worst_kept;
            let late = self.entries.iter().filter(|entry| is_late(entry)).count();
            if self.entries.len() - late >= enough {
                let shed = self.entries.extract_if(.., |entry| is_late(entry));
                return shed.map(|entry| entry.1).collect();
            }
        }
        Vec::new()
    }

    /// Removes the elements for which `fits`, called with the urgency and the number of remaining elements
    /// ahead, returns false.
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

    /// Number of elements ahead of one of this urgency.
    #[must_use]
    pub fn ahead(&self, urgency: &Urgency, now: time::Instant) -> usize {
        let own = rank(urgency, now);
        let ranks = self.entries.iter().map(|entry| rank(&entry.0, now));
        ranks.filter(|rank| *rank <= own).count()
    }

    /// Elements that can meet their target with a run of the usual length.
    pub fn in_time(&self, now: time::Instant) -> impl Iterator<Item = &T> {
        let is_in_time = move |entry: &&(Urgency, T)| entry.0.chance(now) != Chance::None;
        self.entries.iter().filter(is_in_time).map(|entry| &entry.1)
    }

    /// Keeps only the elements for which `wanted` returns true.
    pub fn retain(&mut self, wanted: impl Fn(&T) -> bool) {
        self.entries.retain(|entry| wanted(&entry.1));
    }
}

/// Rank in the queue, the lowest first: by chance, priority, share and due time.
fn rank(urgency: &Urgency, now: time::Instant) -> (Chance, u32, bool, Due) {
    let chance = urgency.chance(now);
    let due = match chance {
        Chance::Good => Due::Earliest(urgency.target),
        Chance::Fair => Due::Latest(cmp::Reverse(urgency.target)),
        Chance::None => Due::Earliest(urgency.deadline),
    };
    (chance, urgency.priority, urgency.over_share, due)
}

/// Order among elements of equal chance, priority and share; all elements of one chance use the same variant.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Earliest(time::Instant),
    Latest(cmp::Reverse<time::Instant>),
}
