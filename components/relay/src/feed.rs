//! Local copy of the objects below one prefix.

mod removals;

use futures_channel::oneshot;
use platform::{Key, Object, Revision};

use crate::Delta;
use crate::entry::Entry;

/// Local copy of the objects below one prefix.
///
/// A feed contains every change up to its head, so that feeds with the same head are equal.
#[derive(Debug)]
pub struct Feed {
    prefix: &'static str,
    /// Version in the value of an object, which decides between values of different eras.
    version: fn(&[u8]) -> Option<u64>,
    /// Whether removed objects are followed.
    removals: bool,
    /// Revision from which removed objects are known; earlier ones may be forgotten.
    removals_from: Revision,
    /// Sorted by key; removed objects stay as tombstones.
    entries: Vec<Entry>,
    /// Revision of the newest change; `None` until the first read.
    head: Option<Revision>,
    /// Keys of the objects that were taken from nodes that had kept them, in the order of their adoption.
    adopted: Vec<Key>,
    /// Senders that are notified of the next change.
    waiters: Vec<oneshot::Sender<()>>,
}

units::record! { eq:
    /// A changed object, as the deltas to its newest value.
    pub struct Change {
        /// Key of the object.
        pub key: Key,
        /// Deltas, each based on the value before it; none if the object has been removed.
        pub deltas: Vec<Delta>,
        /// Revision of the removal, if the object has been removed.
        pub removed: Option<Revision>,
    }

    /// Result of applying the changes that another node sent.
    #[derive(Copy)]
    pub enum Outcome {
        /// The feed contains the changes.
        Applied,
        /// Earlier changes are missing.
        Gap,
        /// The deltas are based on a value that this node does not have; it needs the full feed.
        MissingBase,
    }
}

impl Feed {
    /// Creates a feed that has not been read yet.
    #[must_use]
    pub fn new(prefix: &'static str, version: fn(&[u8]) -> Option<u64>) -> Self {
        Self {
            prefix,
            version,
            removals: false,
            removals_from: Revision::default(),
            entries: Vec::new(),
            head: None,
            adopted: Vec::new(),
            waiters: Vec::new(),
        }
    }

    /// Prefix of the keys.
    #[must_use]
    pub fn prefix(&self) -> &'static str {
        self.prefix
    }

    /// Revision of the newest change; `None` until the first read.
    #[must_use]
    pub fn head(&self) -> Option<Revision> {
        self.head
    }

    /// All objects, sorted by key.
    #[must_use]
    pub fn objects(&self) -> Vec<Object> {
        let present = self.entries.iter().filter(|entry| !entry.removed);
        present.map(|entry| entry.object.clone()).collect()
    }

    /// Objects that changed after `after`, oldest change first.
    #[must_use]
    pub fn objects_after(&self, after: Revision) -> Vec<Object> {
        let entries = self
            .entries_after(Some(after))
            .filter(|entry| !entry.removed);
        let mut found: Vec<_> = entries.map(|entry| entry.object.clone()).collect();
        found.sort_by_key(|object| object.revision);
        found
    }

    /// Changes after `after`, as deltas where those are kept; all objects if `after` is `None`.
    #[must_use]
    pub fn changes(&self, after: Option<Revision>) -> Vec<Change> {
        let changes = self.entries_after(after).map(|entry| Change {
            key: entry.object.key.clone(),
            deltas: entry.deltas_after(after),
            removed: entry.removed.then_some(entry.object.revision),
        });
        changes.collect()
    }

    /// Merges objects read from the store: all below the prefix, or those that changed since the head.
    pub fn merge(&mut self, objects: Vec<Object>) {
        let newest = objects.iter().map(|object| object.revision).max();
        self.merge_objects(objects);
        self.advance_head(newest.unwrap_or_default());
    }

    fn merge_objects(&mut self, objects: Vec<Object>) {
        for object in objects {
            match self.index_of(&object.key) {
                Ok(index) if self.entries[index].object.revision >= object.revision => {}
                Ok(index) if self.is_lost(index, &object) => {}
                Ok(index) => self.entries[index].replace(object),
                Err(_) if self.is_known_removed(object.revision) => {}
                Err(index) => self.entries.insert(index, Entry::new(object)),
            }
        }
    }

    /// Applies the changes of another node after `after` and up to `head`.
    ///
    /// `None` for `after` means that `changes` is the full feed.
    pub fn apply(
        &mut self,
        after: Option<Revision>,
        head: Revision,
        changes: &[Change],
    ) -> Outcome {
        if after.is_some_and(|after| self.head.is_none_or(|held| held < after)) {
            return Outcome::Gap;
        }
        for change in changes {
            if !self.apply_change(change) {
                return Outcome::MissingBase;
            }
        }
        if after.is_none() {
            self.remove_unlisted(head, |key| changes.iter().any(|change| change.key == *key));
        }
        self.advance_head(head);
        Outcome::Applied
    }

    /// Returns a receiver that is notified of the next change.
    pub fn subscribe(&mut self) -> oneshot::Receiver<()> {
        self.waiters.retain(|waiter| !waiter.is_canceled());
        let (sender, receiver) = oneshot::channel();
        self.waiters.push(sender);
        receiver
    }

    /// Applies the deltas of `change`; `false` if its base is missing or a delta cannot be decoded.
    fn apply_change(&mut self, change: &Change) -> bool {
        if let Some(removed) = change.removed {
            self.remove(&change.key, removed);
            return true;
        }
        let index = self.index_of(&change.key);
        let held = index.ok().map(|index| &self.entries[index].object);
        let revision = held.map(|held| held.revision);
        let newest = change.deltas.last().map(|delta| delta.revision);
        if newest.is_none() || newest <= revision {
            self.adopt_lost(index, change);
            return true;
        }
        let starts = |delta: &Delta| delta.base.is_none() || delta.base == revision;
        let Some(start) = change.deltas.iter().position(starts) else {
            return false;
        };
        let mut value = held.map(|held| held.value.clone()).unwrap_or_default();
        for delta in &change.deltas[start..] {
            let Some(next) = delta.decompress(&value) else {
                return false;
            };
            value = next;
        }
        let object = Object {
            key: change.key.clone(),
            revision: newest.unwrap_or_default(),
            value,
        };
        match index {
            Ok(index) if self.is_lost(index, &object) => {}
            Ok(index) => self.entries[index].advance(object, &change.deltas),
            Err(_) if self.is_known_removed(object.revision) => {}
            Err(index) => self.entries.insert(index, Entry::new(object)),
        }
        true
    }

    /// Whether the store has lost the held value, and shows an older version in a newer era.
    fn is_lost(&self, index: usize, shown: &Object) -> bool {
        let held = &self.entries[index].object;
        let is_restored = held.revision.era() < shown.revision.era();
        is_restored && (self.version)(&held.value) > (self.version)(&shown.value)
    }

    /// Takes the full value in `change`, which another node has kept from an earlier era, if its version is
    /// newer than the held one.
    fn adopt_lost(&mut self, index: Result<usize, usize>, change: &Change) {
        let full = change.deltas.last().filter(|delta| delta.base.is_none());
        let (Ok(index), Some(delta)) = (index, full) else {
            return;
        };
        let Some(value) = delta.decompress(&[]) else {
            return;
        };
        let kept = Object {
            key: change.key.clone(),
            revision: delta.revision,
            value,
        };
        let held = &self.entries[index].object;
        let is_earlier = kept.revision.era() < held.revision.era();
        if is_earlier && (self.version)(&kept.value) > (self.version)(&held.value) {
            log::info!(event = "lost-value-adopted", key:% = kept.key, revision:% = kept.revision,
                head:? = self.head; "another node has kept what the store has lost");
            self.adopted.push(kept.key.clone());
            self.entries[index] = Entry::new(kept);
            self.notify();
        }
    }

    /// Number of objects that were taken from nodes that had kept them.
    #[must_use]
    pub fn adoptions(&self) -> usize {
        self.adopted.len()
    }

    /// Objects that were adopted after the first `count` ones; their revisions lie below the head.
    #[must_use]
    pub fn adopted_after(&self, count: usize) -> Vec<Object> {
        let keys = self.adopted.iter().skip(count);
        let entries = keys.filter_map(|key| Some(&self.entries[self.index_of(key).ok()?]));
        let present = entries.filter(|entry| !entry.removed);
        present.map(|entry| entry.object.clone()).collect()
    }

    fn advance_head(&mut self, head: Revision) {
        let before = self.head;
        self.head = self.head.max(Some(head));
        if self.head != before {
            self.notify();
        }
    }

    fn notify(&mut self) {
        for waiter in self.waiters.drain(..) {
            // The receiver may have been dropped.
            let _ = waiter.send(());
        }
    }

    fn entries_after(&self, after: Option<Revision>) -> impl Iterator<Item = &Entry> {
        let is_newer =
            move |entry: &&Entry| after.is_none_or(|after| entry.object.revision > after);
        self.entries.iter().filter(is_newer)
    }

    fn index_of(&self, key: &Key) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.object.key.cmp(key))
    }
}
