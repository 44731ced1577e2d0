//! Versions that use only some of their backend servers.

use std::cell;
use std::rc;

use compact_str::CompactString;

/// Versions whose traffic goes to only some of their backend servers; clones share the list.
///
/// A version with a small share shows how it behaves under load only when that share is
/// concentrated: its first backend servers, ranked by node id, take all of it.
#[derive(Debug, Clone, Default)]
pub struct Focus {
    /// Service, version and the number of backend servers, sorted.
    entries: rc::Rc<cell::RefCell<Vec<(CompactString, CompactString, usize)>>>,
}

impl Focus {
    /// Limits `version` of `service` to its first `count` backend servers.
    pub fn set(&self, service: &str, version: &str, count: usize) {
        let mut entries = self.entries.borrow_mut();
        match Self::place(&entries, service, version) {
            Ok(place) => entries[place].2 = count,
            Err(place) => entries.insert(place, (service.into(), version.into(), count)),
        }
    }

    /// Lets `version` of `service` use all of its backend servers.
    pub fn clear(&self, service: &str, version: &str) {
        let mut entries = self.entries.borrow_mut();
        if let Ok(place) = Self::place(&entries, service, version) {
            entries.remove(place);
        }
    }

    /// How many backend servers `version` of `service` may use, the first by node id; `None`
    /// without a limit.
    #[must_use]
    pub fn get(&self, service: &str, version: &str) -> Option<usize> {
        let entries = self.entries.borrow();
        let place = Self::place(&entries, service, version).ok()?;
        Some(entries[place].2)
    }

    /// Services, versions and numbers of backend servers, sorted.
    #[must_use]
    pub fn list(&self) -> Vec<(CompactString, CompactString, usize)> {
        self.entries.borrow().clone()
    }

    fn place(
        entries: &[(CompactString, CompactString, usize)],
        service: &str,
        version: &str,
    ) -> Result<usize, usize> {
        entries
            .binary_search_by(|entry| (entry.0.as_str(), entry.1.as_str()).cmp(&(service, version)))
    }
}
