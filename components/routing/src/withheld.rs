//! Versions that get no traffic even though the configuration gives them a share.

use std::cell;
use std::rc;

use compact_str::CompactString;

/// Versions that get no traffic from this node; clones share the list.
///
/// A version is withheld as soon as any node finds that it is bad, before the configuration reflects it.
#[derive(Debug, Clone, Default)]
pub struct Withheld {
    /// Pairs of service and version, sorted.
    entries: rc::Rc<cell::RefCell<Vec<(CompactString, CompactString)>>>,
    changes: rc::Rc<cell::Cell<u64>>,
}

impl Withheld {
    /// Withholds `version` of `service`; returns whether it was not withheld before.
    pub fn add(&self, service: &str, version: &str) -> bool {
        let mut entries = self.entries.borrow_mut();
        match Self::position(&entries, service, version) {
            Ok(_) => false,
            Err(index) => {
                entries.insert(index, (service.into(), version.into()));
                self.count_change();
                true
            }
        }
    }

    /// Restores the share of `version` of `service`; returns whether it was withheld.
    pub fn remove(&self, service: &str, version: &str) -> bool {
        let mut entries = self.entries.borrow_mut();
        match Self::position(&entries, service, version) {
            Ok(index) => {
                entries.remove(index);
                self.count_change();
                true
            }
            Err(_) => false,
        }
    }

    /// Whether `version` of `service` is withheld.
    #[must_use]
    pub fn contains(&self, service: &str, version: &str) -> bool {
        Self::position(&self.entries.borrow(), service, version).is_ok()
    }

    /// Returns all pairs of service and version, sorted.
    #[must_use]
    pub fn list(&self) -> Vec<(CompactString, CompactString)> {
        self.entries.borrow().clone()
    }

    /// How often the list has changed.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes.get()
    }

    fn count_change(&self) {
        self.changes.set(self.changes.get() + 1);
    }

    fn position(
        entries: &[(CompactString, CompactString)],
        service: &str,
        version: &str,
    ) -> Result<usize, usize> {
        entries
            .binary_search_by(|entry| (entry.0.as_str(), entry.1.as_str()).cmp(&(service, version)))
    }
}
