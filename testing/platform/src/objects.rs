//! Versioned objects and the history of their changes.

use std::collections;

use bytes::Bytes;

/// Why a write did not take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The condition does not hold.
    Conflict,
    /// There is no such object.
    Missing,
}

/// What a write demands of the object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Condition {
    /// There is none.
    Absent,
    /// It is at this revision.
    Revision(u64),
}

units::record! { eq:
    pub(crate) struct Object {
        pub(crate) key: String,
        pub(crate) revision: u64,
        pub(crate) value: Bytes,
    }

    pub(crate) enum Event {
        Put(Object),
        Removed { key: String, revision: u64 },
    }
}

impl Event {
    fn key(&self) -> &str {
        match self {
            Self::Put(object) => &object.key,
            Self::Removed { key, .. } => key,
        }
    }

    fn revision(&self) -> u64 {
        match self {
            Self::Put(object) => object.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// A copy of the objects, from which the store can come back.
#[derive(Debug, Clone)]
pub struct Copy {
    list: Vec<Object>,
    revision: u64,
}

/// The objects and the last events.
#[derive(Debug)]
pub(crate) struct Objects {
    /// Sorted by key.
    list: Vec<Object>,
    revision: u64,
    history: collections::VecDeque<Event>,
    /// Most events kept.
    capacity: usize,
    /// Events up to this revision are forgotten.
    floor: u64,
    /// Number of times that the store has come back from a copy.
    era: u64,
}

impl Objects {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            list: Vec::new(),
            revision: 0,
            history: collections::VecDeque::new(),
            capacity,
            floor: 0,
            era: 0,
        }
    }

    /// Number of times that the store has come back from a copy.
    pub(crate) fn era(&self) -> u64 {
        self.era
    }

    /// A copy of the objects as they are.
    pub(crate) fn copy(&self) -> Copy {
        Copy {
            list: self.list.clone(),
            revision: self.revision,
        }
    }

    /// Comes back from `copy` in a new era; later changes are lost.
    pub(crate) fn restore(&mut self, copy: Copy) {
        self.list = copy.list;
        self.revision = copy.revision;
        self.floor = copy.revision;
        self.history.clear();
        self.era += 1;
    }

    /// Revision of the last write.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of objects.
    pub(crate) fn len(&self) -> usize {
        self.list.len()
    }

    pub(crate) fn read(&self, key: &str) -> Option<&Object> {
        let place = self.place(key).ok()?;
        Some(&self.list[place])
    }

    pub(crate) fn below(&self, prefix: &str) -> Vec<Object> {
        let start = self.list.partition_point(|one| one.key.as_str() < prefix);
        let below = self.list[start..].iter();
        below
            .take_while(|one| one.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    pub(crate) fn put(
        &mut self,
        key: &str,
        condition: Condition,
        value: Bytes,
    ) -> Result<u64, Refusal> {
        let place = self.place(key);
        let held = place.ok().map(|place| self.list[place].revision);
        match (condition, held) {
            (Condition::Absent, None) => {}
            (Condition::Revision(expected), Some(held)) if held == expected => {}
            _ => return Err(Refusal::Conflict),
        }
        self.revision += 1;
        let object = Object {
            key: key.to_owned(),
            revision: self.revision,
            value,
        };
        match place {
            Ok(place) => self.list[place] = object.clone(),
            Err(place) => self.list.insert(place, object.clone()),
        }
        self.record(Event::Put(object));
        Ok(self.revision)
    }

    pub(crate) fn remove(&mut self, key: &str, expected: u64) -> Result<(), Refusal> {
        let place = self.place(key).map_err(|_| Refusal::Missing)?;
        if self.list[place].revision != expected {
            return Err(Refusal::Conflict);
        }
        let object = self.list.remove(place);
        self.revision += 1;
        self.record(Event::Removed {
            key: object.key,
            revision: self.revision,
        });
        Ok(())
    }

    /// Events below `prefix` after `from`; `None` when some of them may be forgotten.
    pub(crate) fn since(&self, prefix: &str, from: u64) -> Option<Vec<Event>> {
        if from < self.floor || from > self.revision {
            return None;
        }
        let start = self
            .history
            .partition_point(|event| event.revision() <= from);
        let later = self.history.iter().skip(start);
        let below = later.filter(|event| event.key().starts_with(prefix));
        Some(below.cloned().collect())
    }

    fn place(&self, key: &str) -> Result<usize, usize> {
        self.list.binary_search_by(|one| one.key.as_str().cmp(key))
    }

    fn record(&mut self, event: Event) {
        self.history.push_back(event);
        if self.history.len() > self.capacity
            && let Some(forgotten) = self.history.pop_front()
        {
            self.floor = forgotten.revision();
        }
    }
}
