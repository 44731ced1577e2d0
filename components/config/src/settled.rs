//! Operations that the log has settled.

use std::collections;

use xxhash_rust::xxh3;

use crate::Limits;

/// The most recent operations and their versions, oldest first, bounded by [`Limits::SETTLED`].
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Settled {
    entries: collections::VecDeque<(units::Operation, units::Version)>,
    /// Sum of the hashes of the entries.
    digest: u64,
}

impl Settled {
    pub(crate) fn iter(&self) -> impl Iterator<Item = &(units::Operation, units::Version)> {
        self.entries.iter()
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn get(&self, operation: &units::Operation) -> Option<units::Version> {
        let mut latest_first = self.entries.iter().rev();
        let found = latest_first.find(|(settled, _)| settled == operation);
        found.map(|(_, version)| *version)
    }

    pub(crate) fn push(&mut self, operation: units::Operation, version: units::Version) {
        self.digest = self.digest.wrapping_add(hash(&operation, version));
        self.entries.push_back((operation, version));
        while self.entries.len() > Limits::SETTLED {
            let Some((operation, version)) = self.entries.pop_front() else {
                break;
            };
            self.digest = self.digest.wrapping_sub(hash(&operation, version));
        }
    }
}

fn hash(operation: &units::Operation, version: units::Version) -> u64 {
    xxh3::xxh3_64_with_seed(operation.as_str().as_bytes(), version.0)
}
