//! Names of services and the handles that they offer.

use std::any;
use std::cell;

use crate::Error;

/// Handles of services, sorted by name.
#[derive(Default)]
pub struct Registry {
    entries: cell::RefCell<Vec<Offer>>,
}

struct Offer {
    name: &'static str,
    handle: Box<dyn any::Any>,
}

impl Registry {
    /// Offers `handle` under `name`.
    ///
    /// # Errors
    /// [`Error::Duplicate`] when the name is taken.
    pub fn offer<T: Clone + 'static>(&self, name: &'static str, handle: T) -> Result<(), Error> {
        let mut entries = self.entries.borrow_mut();
        let place = entries.binary_search_by_key(&name, |offer| offer.name);
        let Err(place) = place else {
            return Err(Error::Duplicate(name));
        };
        let handle = Box::new(handle);
        entries.insert(place, Offer { name, handle });
        Ok(())
    }

    /// Finds the handle that is offered under `name`.
    ///
    /// # Errors
    /// [`Error::Missing`] without such a service, [`Error::Mismatch`] when its handle is not a `T`.
    pub fn find<T: Clone + 'static>(&self, name: &'static str) -> Result<T, Error> {
        let entries = self.entries.borrow();
        let place = entries
            .binary_search_by_key(&name, |offer| offer.name)
            .map_err(|_| Error::Missing(name))?;
        let handle: Option<&T> = entries[place].handle.downcast_ref();
        handle.cloned().ok_or(Error::Mismatch(name))
    }

    /// Names of all services, sorted.
    #[must_use]
    pub fn names(&self) -> Vec<&'static str> {
        let entries = self.entries.borrow();
        entries.iter().map(|offer| offer.name).collect()
    }
}
