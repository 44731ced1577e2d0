//! All moves and alarms that a node knows.

use std::rc;

use compact_str::{CompactString, format_compact};
use platform::Revision;
use xxhash_rust::xxh3;

use crate::{Alarm, Id, Record, Shard};

/// A move as the platform held it at a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Revision of the object.
    pub revision: Revision,
    /// Its content.
    pub record: rc::Rc<Record>,
}

/// What became of a record that was taken into the catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merged {
    /// It is newer, and other nodes should know.
    News,
    /// It is newer, but only the runner needs to know what has changed.
    Detail,
    /// It was known.
    Known,
    /// It breaks an invariant, such as a second end; it was left out.
    Violation,
}

/// All moves and alarms that a node knows.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    /// Sorted by id.
    entries: Vec<Entry>,
    /// Ids of the moves that have not ended, sorted.
    running: Vec<Id>,
    /// Of moves that have not ended; sorted by id.
    alarms: Vec<Alarm>,
}

impl Catalogue {
    /// Most alarms of moves whose record is not known.
    const ALARMS: usize = 4_096;

    /// Takes a record in when it is newer than the one held.
    pub fn merge(&mut self, revision: Revision, record: Record) -> Merged {
        let entry = Entry {
            revision,
            record: rc::Rc::new(record),
        };
        let merged = match self.place(&entry.record.id) {
            Err(place) => {
                self.entries.insert(place, entry.clone());
                Merged::News
            }
            Ok(place) => replace(&mut self.entries[place], entry.clone()),
        };
        if matches!(merged, Merged::News | Merged::Detail) {
            self.note(&entry.record);
        }
        merged
    }

    /// Keeps the lists of running moves and of alarms in line with a record that was taken in.
    fn note(&mut self, record: &Record) {
        let found = self.running.binary_search(&record.id);
        match (found, record.is_ended()) {
            (Err(place), false) => self.running.insert(place, record.id.clone()),
            (Ok(place), true) => {
                self.running.remove(place);
            }
            _ => {}
        }
        if record.is_ended() {
            self.alarms.retain(|alarm| alarm.id != record.id);
        }
    }

    /// Drops a move whose object was removed at `revision`.
    pub fn remove(&mut self, id: &Id, revision: Revision) {
        if let Ok(place) = self.place(id)
            && self.entries[place].revision < revision
        {
            self.entries.remove(place);
            self.running.retain(|one| one != id);
        }
    }

    /// Drops moves that have ended before `limit`, but the last of each service.
    pub fn expire(&mut self, limit: units::Wall) {
        let services: Vec<_> = self
            .entries
            .iter()
            .map(|one| one.record.service().into())
            .collect();
        let mut next: Vec<CompactString> = services.into_iter().skip(1).collect();
        next.push(CompactString::default());
        let mut next = next.into_iter();
        self.entries.retain(|one| {
            let is_last = next
                .next()
                .is_none_or(|service| service != one.record.service());
            is_last || one.record.ended.is_none_or(|ended| ended >= limit)
        });
    }

    /// Takes an alarm in; `true` when it is new and its move has not ended.
    pub fn raise(&mut self, alarm: Alarm) -> bool {
        let is_over = self
            .get(&alarm.id)
            .is_some_and(|entry| entry.record.is_ended());
        if is_over || self.alarms.len() >= Self::ALARMS {
            return false;
        }
        match self.alarms.binary_search_by(|one| one.id.cmp(&alarm.id)) {
            Ok(_) => false,
            Err(place) => {
                self.alarms.insert(place, alarm);
                true
            }
        }
    }

    /// The move called `id`.
    #[must_use]
    pub fn get(&self, id: &Id) -> Option<&Entry> {
        self.place(id).ok().map(|place| &self.entries[place])
    }

    /// The alarm of the move called `id`.
    #[must_use]
    pub fn alarm(&self, id: &Id) -> Option<&Alarm> {
        let place = self.alarms.binary_search_by(|one| one.id.cmp(id));
        place.ok().map(|place| &self.alarms[place])
    }

    /// All moves, sorted by id.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// All alarms, sorted by id of the move.
    #[must_use]
    pub fn alarms(&self) -> &[Alarm] {
        &self.alarms
    }

    /// Moves that have not ended.
    pub fn running(&self) -> impl Iterator<Item = &Entry> {
        self.running.iter().filter_map(|id| self.get(id))
    }

    /// Moves of `service`, the oldest first.
    #[must_use]
    pub fn of_service(&self, service: &str) -> &[Entry] {
        let start = self
            .entries
            .partition_point(|one| one.record.service() < service);
        let rest = &self.entries[start..];
        let count = rest.partition_point(|one| one.record.service() == service);
        &rest[..count]
    }

    /// The move that `operation` has started.
    #[must_use]
    pub fn by_operation(&self, operation: &units::Operation) -> Option<&Entry> {
        let mut entries = self.entries.iter();
        entries.find(|one| one.record.operation == *operation)
    }

    /// Services and versions that get no traffic, sorted.
    ///
    /// A version that was taken back stays withheld until a later move names it as its new one.
    #[must_use]
    pub fn withheld(&self) -> Vec<(CompactString, CompactString)> {
        let mut withheld: Vec<(CompactString, CompactString)> = Vec::new();
        for entry in &self.entries {
            let record = &entry.record;
            let pair = (record.service().into(), record.to.clone());
            withheld.retain(|one| *one != pair);
            let is_alarmed = !record.is_ended() && self.alarm(&record.id).is_some();
            if record.withholds() || (is_alarmed && !record.overridden) {
                withheld.push(pair);
            }
        }
        let unknown = self.alarms.iter().filter(|one| self.get(&one.id).is_none());
        withheld.extend(unknown.map(|one| (one.id.service().into(), one.version.clone())));
        withheld.sort();
        withheld.dedup();
        withheld
    }

    /// One digest a shard of what all nodes should know.
    #[must_use]
    pub fn digests(&self) -> Vec<u64> {
        let mut digests = vec![0_u64; usize::from(Shard::COUNT)];
        for entry in &self.entries {
            let record = &entry.record;
            let (id, state, fence) = (&record.id, record.state, record.fence);
            let text = format_compact!("{id} {state:?} {fence}");
            // The sum does not depend on the order.
            let digest = &mut digests[id.shard().index()];
            *digest = digest.wrapping_add(xxh3::xxh3_64(text.as_bytes()));
        }
        for alarm in &self.alarms {
            let digest = &mut digests[alarm.id.shard().index()];
            *digest =
                digest.wrapping_add(xxh3::xxh3_64(format_compact!("{}!", alarm.id).as_bytes()));
        }
        digests
    }

    fn place(&self, id: &Id) -> Result<usize, usize> {
        self.entries.binary_search_by(|one| one.record.id.cmp(id))
    }
}

/// Replaces `held` by a newer entry of the same move.
fn replace(held: &mut Entry, entry: Entry) -> Merged {
    if entry.revision <= held.revision {
        let is_other_end = held.record.is_ended()
            && entry.record.is_ended()
            && held.record.state != entry.record.state;
        return if is_other_end {
            Merged::Violation
        } else {
            Merged::Known
        };
    }
    if !held.record.may_become(&entry.record) {
        return Merged::Violation;
    }
    let (before, after) = (&held.record, &entry.record);
    let is_news = before.state != after.state || before.fence != after.fence;
    *held = entry;
    if is_news {
        Merged::News
    } else {
        Merged::Detail
    }
}
