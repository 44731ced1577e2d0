//! Round-robin queue over callers.

use std::collections::VecDeque;

use compact_str::CompactString;

/// Queue with a lane for each caller; the lanes are served round-robin.
///
/// Each lane is first in, first out. A last-in-first-out order under load, as in B. Maurer, "Fail at
/// Scale", 2015, helps where waits are long; here the wait is bounded, so that such an order would only
/// make latencies uneven.
#[derive(Debug)]
pub struct Lanes<T> {
    /// Lanes by caller, the next one to serve first; none is empty.
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
    /// Number of queued elements.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no element is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds an element to the lane of `caller`.
    ///
    /// With `limit` elements queued, evicts and returns one: the newest of the longest lane, or `element`
    /// itself when its lane is the longest.
    pub fn push(&mut self, caller: &CompactString, element: T, limit: usize) -> Option<T> {
        let evicted = if self.length >= limit {
            let own = self.lane_length(caller);
            let longest = self.longest();
            let Some(index) = longest.filter(|index| self.lanes[*index].1.len() > own + 1) else {
                return Some(element);
            };
            self.evict(index)
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

    /// Removes the next element in round-robin order.
    pub fn pop(&mut self) -> Option<T> {
        let (caller, mut lane) = self.lanes.pop_front()?;
        let element = lane.pop_front();
        if !lane.is_empty() {
            self.lanes.push_back((caller, lane));
        }
        self.length -= usize::from(element.is_some());
        element
    }

    /// Queued elements, lane by lane.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.lanes.iter().flat_map(|lane| &lane.1)
    }

    /// Keeps only the elements for which `wanted` returns true.
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
        longest.map(|(index, _)| index)
    }

    fn evict(&mut self, index: usize) -> Option<T> {
        let evicted = self.lanes[index].1.pop_back();
        self.length -= usize::from(evicted.is_some());
        evicted
    }
}
