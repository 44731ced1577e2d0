//! Versions whose traffic is limited to a subset of their backend servers.

use std::cell;
use std::rc;

use compact_str::CompactString;

/// Versions whose traffic is limited to a subset of their backend servers; clones share the list.
///
/// Concentrating a small share of the traffic on the first backend servers by node id shows how a
/// version behaves under load.
#[derive(Debug, Clone, Default)]
pub struct Focus {
    /// Service, version and the number of backend servers, sorted.
    entries: rc::Rc<cell::RefCell<Vec<(CompactString, CompactString, usize)>>>,
}

impl Focus {
    /// Limits `version` of `service` to its first `count` backend servers.
    pub fn set(&self, service: &str, version: &str, count: usize) {
        let mut entries = self.entries.borrow_mut();
        match Self::position(&entries, service, version) {
            Ok(index) => entries[index].2 = count,
            Err(index) => entries.insert(index, (service.into(), version.into(), count)),
        }
    }

    /// Lifts the limit of `version` of `service`, which then uses all of its backend servers.
    pub fn clear(&self, service: &str, version: &str) {
        let mut entries = self.entries.borrow_mut();
        if let Ok(index) = Self::position(&entries, service, version) {
            entries.remove(index);
        }
    }

    /// Returns the number of backend servers, the first by node id, that `version` of `service` may use;
    /// `None` without a limit.
    #[must_use]
    pub fn get(&self, service: &str, version: &str) -> Option<usize> {
        let entries = self.entries.borrow();
        let index = Self::position(&entries, service, version).ok()?;
        Some(entries[index].2)
    }

    /// Returns all services, versions and numbers of backend servers, sorted.
    #[must_use]
    pub fn list(&self) -> Vec<(CompactString, CompactString, usize)> {
        self.entries.borrow().clone()
    }

    fn position(
        entries: &[(CompactString, CompactString, usize)],
        service: &str,
        version: &str,
    ) -> Result<usize, usize> {
        entries
            .binary_search_by(|entry| (entry.0.as_str(), entry.1.as_str()).cmp(&(service, version)))
    }
}
