//! Limit on the requests in flight at an ingress, shared among services.

use std::cell;
use std::rc;

use compact_str::CompactString;

/// Limit on the requests in flight at an ingress, by service; clones share the count.
///
/// While less than half of the limit is in use, a service is not restricted. Above that, each service is
/// restricted to an equal share of the limit, so that a slow service leaves capacity for others.
#[derive(Debug, Clone)]
pub struct Bulkhead {
    limit: usize,
    state: rc::Rc<cell::RefCell<State>>,
}

#[derive(Debug, Default)]
struct State {
    total: usize,
    /// Services with requests in flight, sorted by name.
    services: Vec<(CompactString, usize)>,
}

/// Entry for one request in flight, released when dropped.
#[derive(Debug)]
pub struct Entry {
    service: CompactString,
    state: rc::Rc<cell::RefCell<State>>,
}

impl Bulkhead {
    /// Creates a bulkhead of `limit` requests for all services together.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            state: rc::Rc::default(),
        }
    }

    /// Counts a request of `service`; `None` when the service has used its share.
    #[must_use]
    pub fn acquire(&self, service: &CompactString) -> Option<Entry> {
        let mut state = self.state.borrow_mut();
        let index = state
            .services
            .binary_search_by(|entry| entry.0.cmp(service));
        let in_flight = index.map_or(0, |index| state.services[index].1);
        let active = state.services.len() + usize::from(index.is_err());
        let contended = state.total >= self.limit / 2;
        if state.total >= self.limit || (contended && in_flight >= (self.limit / active).max(1)) {
            return None;
        }
        state.total += 1;
        match index {
            Ok(index) => state.services[index].1 += 1,
            Err(index) => state.services.insert(index, (service.clone(), 1)),
        }
        Some(Entry {
            service: service.clone(),
            state: self.state.clone(),
        })
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn total(&self) -> usize {
        self.state.borrow().total
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        state.total -= 1;
        let index = state
            .services
            .binary_search_by(|entry| entry.0.cmp(&self.service));
        if let Ok(index) = index {
            state.services[index].1 -= 1;
            if state.services[index].1 == 0 {
                state.services.remove(index);
            }
        }
    }
}
