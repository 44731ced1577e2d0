//! Share of each service in an ingress's requests.

use std::cell;
use std::rc;

use compact_str::CompactString;

/// Requests in flight at an ingress, by service; clones share the count.
///
/// While less than half of the limit is in use, a service may take what it needs. Above that it may
/// not have more than an equal share of the limit, so that a slow service leaves room for others.
#[derive(Debug, Clone)]
pub struct Quota {
    limit: usize,
    state: rc::Rc<cell::RefCell<State>>,
}

#[derive(Debug, Default)]
struct State {
    total: usize,
    /// Services with requests in flight, sorted by name.
    services: Vec<(CompactString, usize)>,
}

/// A request's place, given back when dropped.
#[derive(Debug)]
pub struct Entry {
    service: CompactString,
    state: rc::Rc<cell::RefCell<State>>,
}

impl Quota {
    /// A quota of `limit` requests in all.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            state: rc::Rc::default(),
        }
    }

    /// Takes a place for `service`; `None` when it has its share already.
    #[must_use]
    pub fn enter(&self, service: &CompactString) -> Option<Entry> {
        let mut state = self.state.borrow_mut();
        let place = state.services.binary_search_by(|one| one.0.cmp(service));
        let held = place.map_or(0, |place| state.services[place].1);
        let active = state.services.len() + usize::from(place.is_err());
        let crowded = state.total >= self.limit / 2;
        if state.total >= self.limit || (crowded && held >= (self.limit / active).max(1)) {
            return None;
        }
        state.total += 1;
        match place {
            Ok(place) => state.services[place].1 += 1,
            Err(place) => state.services.insert(place, (service.clone(), 1)),
        }
        Some(Entry {
            service: service.clone(),
            state: self.state.clone(),
        })
    }

    /// Requests in flight.
    #[must_use]
    pub fn total(&self) -> usize {
        self.state.borrow().total
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        state.total -= 1;
        let place = state
            .services
            .binary_search_by(|one| one.0.cmp(&self.service));
        if let Ok(place) = place {
            state.services[place].1 -= 1;
            if state.services[place].1 == 0 {
                state.services.remove(place);
            }
        }
    }
}
