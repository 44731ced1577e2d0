//! Age of a node's state, and the decision when the node has to watch the store itself.

use std::time;

use crate::{Candidate, Evidence, Intervals, Place};

/// Evidence that the state of a node is complete, and the time when it last heard another node.
#[derive(Debug, Clone)]
pub struct Freshness {
    /// Time from which the state has to be complete while there is no evidence.
    started: time::Instant,
    /// Time of the latest message from any other node.
    last_message: time::Instant,
    /// Latest evidence of each node that the store answered, sorted by place.
    evidence: Vec<Evidence>,
}

impl Freshness {
    /// Number of nodes whose evidence is kept.
    const LIMIT: usize = 16;

    /// Freshness of a node that has received no message since its start.
    #[must_use]
    pub fn new(started: time::Instant) -> Self {
        Self {
            started,
            last_message: started,
            evidence: Vec::new(),
        }
    }

    /// Records a message of another node.
    pub fn record_message(&mut self, now: time::Instant) {
        self.last_message = self.last_message.max(now);
    }

    /// Records that the state of this node contains all changes up to the time of `evidence`.
    pub fn record(&mut self, evidence: Evidence) {
        match self.position(evidence.place) {
            Ok(index) => {
                let at = &mut self.evidence[index].at;
                *at = evidence.at.max(*at);
            }
            Err(index) => self.evidence.insert(index, evidence),
        }
        if self.evidence.len() > Self::LIMIT {
            self.remove_oldest();
        }
    }

    /// The newest evidence.
    #[must_use]
    pub fn newest(&self) -> Option<Evidence> {
        let evidence = self.evidence.iter().copied();
        evidence.max_by_key(|evidence| evidence.at)
    }

    /// Time since the state was last known to be complete.
    #[must_use]
    pub fn age(&self, now: time::Instant) -> time::Duration {
        let newest = self.newest().map(|evidence| evidence.at);
        let complete_at = newest.map_or(self.started, |at| at.max(self.started));
        now.saturating_duration_since(complete_at)
    }

    /// Whether the age exceeds `stale_after`.
    #[must_use]
    pub fn is_stale(&self, now: time::Instant, intervals: &Intervals) -> bool {
        self.age(now) > intervals.stale_after
    }

    /// Whether a node has to watch the store.
    ///
    /// A substitute continues until the store answers a node with a lower position again.
    #[must_use]
    pub fn should_watch(
        &self,
        candidate: &Candidate,
        now: time::Instant,
        intervals: &Intervals,
    ) -> bool {
        if candidate.behind.is_none() {
            return true;
        }
        if candidate.watching {
            return !self.has_predecessor(candidate.place, now, intervals);
        }
        if now.saturating_duration_since(self.last_message) > intervals.stale_after {
            return true;
        }
        self.age(now) > intervals.stale_after + candidate.delay(intervals)
    }

    /// Latest evidence of each node that the store answered.
    #[must_use]
    pub fn evidence(&self) -> &[Evidence] {
        &self.evidence
    }

    /// Whether the store has lately answered a node with a lower position.
    fn has_predecessor(&self, place: Place, now: time::Instant, intervals: &Intervals) -> bool {
        let mut predecessors = self.evidence.iter().filter(|one| one.place < place);
        predecessors.any(|one| now.saturating_duration_since(one.at) <= intervals.stale_after)
    }

    fn position(&self, place: Place) -> Result<usize, usize> {
        self.evidence.binary_search_by_key(&place, |one| one.place)
    }

    fn remove_oldest(&mut self) {
        let oldest = self.evidence.iter().map(|one| one.at).min();
        self.evidence.retain(|one| Some(one.at) != oldest);
    }
}
