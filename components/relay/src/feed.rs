//! The objects below one prefix, as far as this node knows them.

use futures_channel::oneshot;
use platform::{Key, Object, Revision};

use crate::Step;
use crate::entry::Entry;

/// The objects below one prefix, as far as this node knows them.
///
/// Every change up to the head is in it, so that whoever has the same head knows the same.
#[derive(Debug)]
pub struct Feed {
    prefix: &'static str,
    /// Sorted by key.
    entries: Vec<Entry>,
    /// Revision of the newest change; `None` while nothing was read.
    head: Option<Revision>,
    /// Those that wait for a change.
    waiting: Vec<oneshot::Sender<()>>,
}

units::record! { eq:
    /// An object that changed, as the steps to its newest value.
    pub struct Change {
        /// Name of the object.
        pub key: Key,
        /// The steps, each from the value before it.
        pub steps: Vec<Step>,
    }

    /// What comes of changes that another node sent.
    #[derive(Copy)]
    pub enum Taken {
        /// They are in.
        Known,
        /// Changes before them are missing here.
        Gap,
        /// They are differences to a value that is not held here: the whole is needed.
        Base,
    }
}

impl Feed {
    /// A feed of which nothing is known.
    #[must_use]
    pub fn new(prefix: &'static str) -> Self {
        Self {
            prefix,
            entries: Vec::new(),
            head: None,
            waiting: Vec::new(),
        }
    }

    /// The prefix of its keys.
    #[must_use]
    pub fn prefix(&self) -> &'static str {
        self.prefix
    }

    /// Revision of the newest change; `None` while nothing was read.
    #[must_use]
    pub fn head(&self) -> Option<Revision> {
        self.head
    }

    /// All objects, by key.
    #[must_use]
    pub fn objects(&self) -> Vec<Object> {
        let objects = self.entries.iter().map(|entry| entry.object.clone());
        objects.collect()
    }

    /// The objects that changed after `after`, oldest change first.
    #[must_use]
    pub fn since(&self, after: Revision) -> Vec<Object> {
        let newer = self.newer(Some(after));
        let mut found: Vec<_> = newer.map(|entry| entry.object.clone()).collect();
        found.sort_by_key(|object| object.revision);
        found
    }

    /// What changed after `after`, as differences where those are kept; all where it is `None`.
    #[must_use]
    pub fn changes(&self, after: Option<Revision>) -> Vec<Change> {
        let changes = self.newer(after).map(|entry| Change {
            key: entry.object.key.clone(),
            steps: entry.steps_after(after),
        });
        changes.collect()
    }

    /// Takes all objects below the prefix, or those that changed since, as read in the store.
    pub fn read(&mut self, objects: Vec<Object>) {
        let newest = objects.iter().map(|object| object.revision).max();
        for object in objects {
            match self.place(&object.key) {
                Ok(place) if self.entries[place].object.revision >= object.revision => {}
                Ok(place) => self.entries[place].replace(object),
                Err(place) => self.entries.insert(place, Entry::new(object)),
            }
        }
        self.advance(newest.unwrap_or_default());
    }

    /// Takes all changes after `after` up to `head` from another node.
    ///
    /// `after` of `None` says that nothing is before them.
    pub fn take(&mut self, after: Option<Revision>, head: Revision, changes: &[Change]) -> Taken {
        if after.is_some_and(|after| self.head.is_none_or(|held| held < after)) {
            return Taken::Gap;
        }
        for change in changes {
            if !self.follow(change) {
                return Taken::Base;
            }
        }
        self.advance(head);
        Taken::Known
    }

    /// Wakes the receiver at the next change.
    pub fn wait(&mut self) -> oneshot::Receiver<()> {
        self.waiting.retain(|waiting| !waiting.is_canceled());
        let (sender, receiver) = oneshot::channel();
        self.waiting.push(sender);
        receiver
    }

    /// Whether the object is at the newest value of `change` now.
    fn follow(&mut self, change: &Change) -> bool {
        let place = self.place(&change.key);
        let held = place.ok().map(|place| &self.entries[place].object);
        let revision = held.map(|held| held.revision);
        let newest = change.steps.last().map(|step| step.revision);
        if newest.is_none() || newest <= revision {
            return true;
        }
        let starts = |step: &Step| step.base.is_none() || step.base == revision;
        let Some(start) = change.steps.iter().position(starts) else {
            return false;
        };
        let mut value = held.map(|held| held.value.clone()).unwrap_or_default();
        for step in &change.steps[start..] {
            let Some(next) = step.value(&value) else {
                return false;
            };
            value = next;
        }
        let object = Object {
            key: change.key.clone(),
            revision: newest.unwrap_or_default(),
            value,
        };
        match place {
            Ok(place) => self.entries[place].follow(object, &change.steps),
            Err(place) => self.entries.insert(place, Entry::new(object)),
        }
        true
    }

    fn advance(&mut self, head: Revision) {
        let before = self.head;
        self.head = self.head.max(Some(head));
        if self.head == before {
            return;
        }
        for waiting in self.waiting.drain(..) {
            // Whoever waited may have given up.
            let _ = waiting.send(());
        }
    }

    fn newer(&self, after: Option<Revision>) -> impl Iterator<Item = &Entry> {
        let newer = move |entry: &&Entry| after.is_none_or(|after| entry.object.revision > after);
        self.entries.iter().filter(newer)
    }

    fn place(&self, key: &Key) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.object.key.cmp(key))
    }
}
