//! Data centres whose backend servers get no requests.

use std::cell;
use std::rc;

/// Evacuated data centres, whose backend servers get no requests; clones share the list.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// Sorted.
    entries: rc::Rc<cell::RefCell<Vec<units::DataCentre>>>,
}

units::record! { eq:
    /// A change of the evacuated data centres.
    pub struct Evacuated {
        /// Data centres whose evacuation has begun.
        pub began: Vec<units::DataCentre>,
        /// Data centres whose evacuation has ended.
        pub ended: Vec<units::DataCentre>,
    }
}

impl Evacuations {
    /// Replaces the list by `entries`, and returns what has changed.
    pub fn set(&self, mut entries: Vec<units::DataCentre>) -> Evacuated {
        entries.sort_unstable();
        entries.dedup();
        let before = self.entries.replace(entries);
        let now = self.entries.borrow();
        Evacuated {
            began: missing(&now, &before),
            ended: missing(&before, &now),
        }
    }

    /// Whether `data_centre` is evacuated.
    #[must_use]
    pub fn contains(&self, data_centre: &units::DataCentre) -> bool {
        self.entries.borrow().binary_search(data_centre).is_ok()
    }

    /// Whether no data centre is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.borrow().is_empty()
    }

    /// Returns the evacuated data centres, sorted.
    #[must_use]
    pub fn list(&self) -> Vec<units::DataCentre> {
        self.entries.borrow().clone()
    }
}

/// Returns the entries of `some` that are not in `others`; both are sorted.
fn missing(some: &[units::DataCentre], others: &[units::DataCentre]) -> Vec<units::DataCentre> {
    let entries = some.iter();
    let entries = entries.filter(|entry| others.binary_search(entry).is_err());
    entries.cloned().collect()
}
