//! Connections to other nodes.

use std::cell;
use std::rc;
use std::time;

use upstream::{Dialer, Pool, Settings};

/// Connections to other nodes; clones share them.
#[derive(Clone)]
pub(crate) struct Pools {
    /// Pools, sorted by address.
    entries: rc::Rc<cell::RefCell<Vec<Pool>>>,
    settings: rc::Rc<Settings>,
    dialer: Dialer,
}

impl Pools {
    /// Longest idle time of a connection.
    const IDLE_LIMIT: time::Duration = time::Duration::from_secs(60);

    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            entries: rc::Rc::default(),
            settings: rc::Rc::new(settings.clone()),
            dialer: Dialer::new(settings.dials_per_second),
        }
    }

    /// Returns the connections to `address`.
    pub(crate) fn get(&self, address: units::Address) -> Pool {
        let mut entries = self.entries.borrow_mut();
        let index = entries.binary_search_by(|one| one.address().cmp(&address));
        match index {
            Ok(index) => entries[index].clone(),
            Err(index) => {
                let pool = Pool::new(address, self.settings.clone(), self.dialer.clone());
                entries.insert(index, pool.clone());
                pool
            }
        }
    }

    pub(crate) fn maintain(&self, now: time::Instant) {
        let mut entries = self.entries.borrow_mut();
        entries.retain(|pool| !pool.close_idle(now, Self::IDLE_LIMIT));
    }
}
