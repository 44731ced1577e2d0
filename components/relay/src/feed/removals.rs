//! Removed objects in a feed.

use platform::{Event, Key, Listing, Revision};

use super::Feed;
use crate::entry::Entry;

impl Feed {
    /// Number of tombstones that are kept.
    const TOMBSTONES: usize = 64;

    /// The same feed, following removed objects as well.
    ///
    /// Its head is the revision up to which the store has been read, even if no object is as new.
    #[must_use]
    pub fn with_removals(mut self) -> Self {
        self.removals = true;
        self
    }

    /// Whether removed objects are followed.
    #[must_use]
    pub fn has_removals(&self) -> bool {
        self.removals
    }

    /// Changes after `after`, oldest first.
    #[must_use]
    pub fn events_after(&self, after: Revision) -> Vec<Event> {
        let mut entries: Vec<_> = self.entries_after(Some(after)).collect();
        entries.sort_by_key(|entry| entry.object.revision);
        let events = entries.into_iter().map(|entry| match entry.removed {
            true => Event::Removed(entry.object.key.clone(), entry.object.revision),
            false => Event::Put(entry.object.clone()),
        });
        events.collect()
    }

    /// Merges everything below the prefix, as the store has listed it: what is older and not listed has been
    /// removed.
    pub fn merge_listing(&mut self, listing: Listing) {
        if !self.removals {
            return self.merge(listing.objects);
        }
        let (objects, revision) = (listing.objects, listing.revision);
        self.remove_unlisted(revision, |key| {
            objects.iter().any(|object| object.key == *key)
        });
        let newest = objects.iter().map(|object| object.revision).max();
        self.merge_objects(objects);
        self.advance_head(newest.unwrap_or_default().max(revision));
    }

    /// Merges all events after the head that a watch of the store has seen.
    pub fn merge_events(&mut self, events: Vec<Event>) {
        let mut newest = Revision::default();
        for event in events {
            match event {
                Event::Put(object) => {
                    newest = newest.max(object.revision);
                    self.merge_objects(vec![object]);
                }
                Event::Removed(key, revision) if self.removals => {
                    newest = newest.max(revision);
                    self.remove(&key, revision);
                }
                Event::Removed(..) => {}
            }
        }
        self.advance_head(newest);
    }

    /// Lower bound of the changes for a node that has all changes up to `after`; `None` if it needs the full
    /// feed, because removed objects that it may hold are forgotten here.
    #[must_use]
    pub fn lower_bound(&self, after: Option<Revision>) -> Option<Revision> {
        after.filter(|after| !self.removals || *after >= self.removals_from)
    }

    /// Whether an object at `revision` that is not held has been removed: all objects up to the head are held.
    pub(super) fn is_known_removed(&self, revision: Revision) -> bool {
        self.removals && self.head.is_some_and(|head| revision <= head)
    }

    /// Replaces the object by a tombstone, unless it has changed since the removal.
    pub(super) fn remove(&mut self, key: &Key, revision: Revision) {
        match self.index_of(key) {
            Ok(index) if self.entries[index].object.revision >= revision => return,
            Ok(index) => self.entries[index] = Entry::tombstone(key.clone(), revision),
            Err(index) => self
                .entries
                .insert(index, Entry::tombstone(key.clone(), revision)),
        }
        self.forget_tombstones();
    }

    /// Removes the objects that are older than a full state at `revision` and not in it.
    pub(super) fn remove_unlisted(&mut self, revision: Revision, is_listed: impl Fn(&Key) -> bool) {
        if !self.removals {
            return;
        }
        if self.head.is_none() {
            self.removals_from = revision;
        }
        let unlisted = self.entries.iter().filter(|entry| {
            let object = &entry.object;
            !entry.removed && object.revision <= revision && !is_listed(&object.key)
        });
        let keys: Vec<_> = unlisted.map(|entry| entry.object.key.clone()).collect();
        for key in keys {
            self.remove(&key, revision);
        }
    }

    /// Drops the oldest tombstones above the limit; nodes that may lack them get the full feed.
    fn forget_tombstones(&mut self) {
        let tombstones = self.entries.iter().filter(|entry| entry.removed);
        let mut revisions: Vec<_> = tombstones.map(|entry| entry.object.revision).collect();
        let Some(excess) = revisions.len().checked_sub(Self::TOMBSTONES + 1) else {
            return;
        };
        revisions.sort_unstable();
        let newest = revisions[excess];
        self.removals_from = self.removals_from.max(newest);
        self.entries
            .retain(|entry| !entry.removed || entry.object.revision > newest);
    }
}
