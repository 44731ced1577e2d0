//! Queue of requests that wait for a slot.

use std::time;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{Lanes, Queue, Urgency};

/// Order in which queued requests are admitted.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Callers are served round-robin.
    #[default]
    Callers,
    /// By priority and by the likelihood of an answer in time.
    Urgency,
}

/// Queue of requests that wait for a slot, in one of the orders.
#[derive(Debug)]
pub(crate) enum Waiting<T> {
    Callers(Lanes<T>),
    Urgency(Queue<T>),
}

impl<T> Waiting<T> {
    pub(crate) fn new(order: Order) -> Self {
        match order {
            Order::Callers => Self::Callers(Lanes::default()),
            Order::Urgency => Self::Urgency(Queue::default()),
        }
    }

    pub(crate) fn len(&self) -> usize {
        match self {
            Self::Callers(lanes) => lanes.len(),
            Self::Urgency(queue) => queue.len(),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds an element; with `limit` elements queued, evicts and returns one.
    pub(crate) fn push(
        &mut self,
        caller: &CompactString,
        urgency: Urgency,
        element: T,
        limit: usize,
        now: time::Instant,
    ) -> Option<T> {
        match self {
            Self::Callers(lanes) => lanes.push(caller, element, limit),
            Self::Urgency(queue) => queue.push(urgency, element, limit, now),
        }
    }

    pub(crate) fn pop(&mut self, now: time::Instant) -> Option<T> {
        match self {
            Self::Callers(lanes) => lanes.pop(),
            Self::Urgency(queue) => queue.pop(now),
        }
    }

    /// Removes the elements that would only wait longer for a refusal.
    pub(crate) fn shed_late(&mut self, now: time::Instant, enough: usize) -> Vec<T> {
        match self {
            Self::Callers(_) => Vec::new(),
            Self::Urgency(queue) => queue.shed_late(now, enough),
        }
    }

    /// Removes the elements for which `fits`, called with the urgency and the number of elements ahead,
    /// returns false.
    pub(crate) fn shed_unless(
        &mut self,
        now: time::Instant,
        fits: impl Fn(&Urgency, usize) -> bool,
    ) -> Vec<T> {
        match self {
            Self::Callers(_) => Vec::new(),
            Self::Urgency(queue) => queue.shed_unless(now, fits),
        }
    }

    /// Number of elements ahead of one of this urgency.
    pub(crate) fn ahead(&self, urgency: &Urgency, now: time::Instant) -> usize {
        match self {
            Self::Callers(lanes) => lanes.len(),
            Self::Urgency(queue) => queue.ahead(urgency, now),
        }
    }

    /// Elements that can still be in time; with the order by callers all of them.
    pub(crate) fn in_time(&self, now: time::Instant) -> impl Iterator<Item = &T> {
        let (lanes, queue) = match self {
            Self::Callers(lanes) => (Some(lanes), None),
            Self::Urgency(queue) => (None, Some(queue)),
        };
        let queued = queue.into_iter().flat_map(move |queue| queue.in_time(now));
        lanes.into_iter().flat_map(Lanes::iter).chain(queued)
    }

    pub(crate) fn retain(&mut self, wanted: impl Fn(&T) -> bool) {
        match self {
            Self::Callers(lanes) => lanes.retain(wanted),
            Self::Urgency(queue) => queue.retain(wanted),
        }
    }
}
