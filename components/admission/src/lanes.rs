//! Queue that is fair among callers.

use std::collections::VecDeque;

use compact_str::CompactString;

/// Queue with a lane for each caller; the lanes take turns.
///
/// Within a lane the oldest goes first. A last-in-first-out order under load, as in B. Maurer,
/// "Fail at Scale", 2015, helps where waiting is long; here the wait is bounded in time, so that
/// it would only make latencies uneven.
#[derive(Debug)]
pub struct Lanes<T> {
    /// In the order of their turns, none empty.
    lanes: VecDeque<(CompactString, VecDeque<T>)>,
    length: usize,
}

impl<T> Default for Lanes<T> {
    fn default() -> Self {
        Self {
            lanes: VecDeque::new(),
            length: 0,
        }
    }
}

impl<T> Lanes<T> {
    /// Number of waiting elements.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds an element to the lane of `caller`.
    ///
    /// With `limit` elements waiting, one has to go: the newest of the longest lane, or the new one
    /// itself when its lane is the longest. Returns it.
    pub fn push(&mut self, caller: &CompactString, element: T, limit: usize) -> Option<T> {
        let evicted = if self.length >= limit {
            let own = self.lane_length(caller);
            let longest = self.longest();
            let Some(place) = longest.filter(|place| self.lanes[*place].1.len() > own + 1) else {
                return Some(element);
            };
            self.evict(place)
        } else {
            None
        };
        self.length += 1;
        let lane = self.lanes.iter_mut().find(|lane| lane.0 == *caller);
        match lane {
            Some(lane) => lane.1.push_back(element),
            None => self
                .lanes
                .push_back((caller.clone(), VecDeque::from([element]))),
        }
        evicted
    }

    /// Takes the next element of the lane whose turn it is.
    pub fn pop(&mut self) -> Option<T> {
        let (caller, mut lane) = self.lanes.pop_front()?;
        let element = lane.pop_front();
        if !lane.is_empty() {
            self.lanes.push_back((caller, lane));
        }
        self.length -= usize::from(element.is_some());
        element
    }

    /// Drops elements that are not wanted any more.
    pub fn retain(&mut self, wanted: impl Fn(&T) -> bool) {
        for lane in &mut self.lanes {
            lane.1.retain(&wanted);
        }
        self.lanes.retain(|lane| !lane.1.is_empty());
        self.length = self.lanes.iter().map(|lane| lane.1.len()).sum();
    }

    fn lane_length(&self, caller: &CompactString) -> usize {
        let lane = self.lanes.iter().find(|lane| lane.0 == *caller);
        lane.map_or(0, |lane| lane.1.len())
    }

    fn longest(&self) -> Option<usize> {
        let lanes = self.lanes.iter().enumerate();
        let longest = lanes.max_by_key(|(_, lane)| lane.1.len());
        longest.map(|(place, _)| place)
    }

    fn evict(&mut self, place: usize) -> Option<T> {
        let evicted = self.lanes[place].1.pop_back();
        self.length -= usize::from(evicted.is_some());
        evicted
    }
}
