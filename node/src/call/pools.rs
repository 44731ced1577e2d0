//! Connections to other nodes.

use std::cell;
use std::rc;
use std::time;

use upstream::{Dialer, Pool, Settings};

/// Connections to other nodes; clones share them.
#[derive(Clone)]
pub(crate) struct Pools {
    /// Sorted by address.
    entries: rc::Rc<cell::RefCell<Vec<Pool>>>,
    settings: rc::Rc<Settings>,
    dialer: Dialer,
}

impl Pools {
    /// Time for which a connection may be idle.
    const IDLE_LIMIT: time::Duration = time::Duration::from_secs(60);

    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            entries: rc::Rc::default(),
            settings: rc::Rc::new(settings.clone()),
            dialer: Dialer::new(settings.dials_per_second),
        }
    }

    /// The connections to `address`.
    pub(crate) fn get(&self, address: units::Address) -> Pool {
        let mut entries = self.entries.borrow_mut();
        let place = entries.binary_search_by(|one| one.address().cmp(&address));
        match place {
            Ok(place) => entries[place].clone(),
            Err(place) => {
                let pool = Pool::new(address, self.settings.clone(), self.dialer.clone());
                entries.insert(place, pool.clone());
                pool
            }
        }
    }

    /// Closes idle connections.
    pub(crate) fn maintain(&self, now: time::Instant) {
        let mut entries = self.entries.borrow_mut();
        entries.retain(|pool| !pool.close_idle(now, Self::IDLE_LIMIT));
    }
}
