//! Regions of data centres.

use std::rc;

use compact_str::CompactString;

/// Regions of data centres, as the settings give them; clones share the list.
#[derive(Debug, Clone, Default)]
pub struct Regions {
    /// Sorted by data centre.
    entries: rc::Rc<[(units::DataCentre, CompactString)]>,
}

impl Regions {
    /// Creates the list from pairs of a data centre and its region.
    #[must_use]
    pub fn new(mut entries: Vec<(units::DataCentre, CompactString)>) -> Self {
        entries.sort_unstable();
        let entries = entries.into();
        Self { entries }
    }

    /// Returns the region of `data_centre`, if it is known.
    #[must_use]
    pub fn find(&self, data_centre: &units::DataCentre) -> Option<&CompactString> {
        let index = self
            .entries
            .binary_search_by(|entry| entry.0.cmp(data_centre));
        index.ok().map(|index| &self.entries[index].1)
    }

    /// Whether `data_centre` is in one of the regions in `homes`; without homes, every data centre is.
    #[must_use]
    pub fn is_home(&self, data_centre: &units::DataCentre, homes: &[CompactString]) -> bool {
        homes.is_empty()
            || self
                .find(data_centre)
                .is_some_and(|region| homes.contains(region))
    }
}
