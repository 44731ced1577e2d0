//! Resources of one kind, sorted by name and shared between snapshots.

use std::rc;

use prost::Message;
use xxhash_rust::xxh3;

use crate::{Route, Service, Workspace};

/// A resource with a name of its own.
pub(crate) trait Resource: Clone {
    /// Name, unique among the resources of its kind.
    fn name(&self) -> &str;

    /// Hash of the encoded resource.
    fn hash(&self) -> u64;
}

impl Resource for Service {
    fn name(&self) -> &str {
        &self.name
    }

    fn hash(&self) -> u64 {
        xxh3::xxh3_64(&self.encode().encode_to_vec())
    }
}

impl Resource for Route {
    fn name(&self) -> &str {
        &self.name
    }

    fn hash(&self) -> u64 {
        xxh3::xxh3_64(&self.encode().encode_to_vec())
    }
}

impl Resource for Workspace {
    fn name(&self) -> &str {
        &self.name
    }

    fn hash(&self) -> u64 {
        xxh3::xxh3_64(&self.encode().encode_to_vec())
    }
}

/// Resources of one kind; clones share them until one of the clones changes.
///
/// The digest is the sum of the hashes, so that a change costs the hashes of what it touches
/// (Bellare and Micciancio, "A new paradigm for collision-free hashing", EUROCRYPT 1997).
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct List<T> {
    items: rc::Rc<Vec<T>>,
    digest: u64,
}

impl<T> Default for List<T> {
    fn default() -> Self {
        Self {
            items: rc::Rc::default(),
            digest: 0,
        }
    }
}

impl<T: Resource> List<T> {
    /// Takes resources in the order in which they come.
    pub(crate) fn new(items: Vec<T>) -> Self {
        let hashes = items.iter().map(Resource::hash);
        let digest = hashes.fold(0, u64::wrapping_add);
        Self {
            items: rc::Rc::new(items),
            digest,
        }
    }

    pub(crate) fn as_slice(&self) -> &[T] {
        &self.items
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn get(&self, name: &str) -> Option<&T> {
        let place = self.place(name).ok()?;
        Some(&self.items[place])
    }

    /// Adds `item`, or replaces the one of its name.
    pub(crate) fn put(&mut self, item: T) {
        self.digest = self.digest.wrapping_add(item.hash());
        match self.place(item.name()) {
            Ok(place) => {
                self.digest = self.digest.wrapping_sub(self.items[place].hash());
                rc::Rc::make_mut(&mut self.items)[place] = item;
            }
            Err(place) => rc::Rc::make_mut(&mut self.items).insert(place, item),
        }
    }

    pub(crate) fn remove(&mut self, name: &str) {
        if let Ok(place) = self.place(name) {
            let removed = rc::Rc::make_mut(&mut self.items).remove(place);
            self.digest = self.digest.wrapping_sub(removed.hash());
        }
    }

    /// Whether the names are sorted and each stands once.
    pub(crate) fn is_sorted(&self) -> bool {
        self.items
            .is_sorted_by(|one, other| one.name() < other.name())
    }

    fn place(&self, name: &str) -> Result<usize, usize> {
        self.items.binary_search_by(|one| one.name().cmp(name))
    }
}
