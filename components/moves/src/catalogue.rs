//! Catalogue of the moves and alarms that a node knows.

use std::rc;

use compact_str::{CompactString, format_compact};
use platform::Revision;
use xxhash_rust::xxh3;

use crate::{Alarm, Id, Record, Shard};

/// State of a move at a revision of its platform object.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Revision of the object.
    pub revision: Revision,
    /// Content of the object.
    pub record: rc::Rc<Record>,
}

/// Result of merging a record into the catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merged {
    /// The record is newer, and the change has to reach other nodes.
    News,
    /// The record is newer, but only the runner needs the change.
    Detail,
    /// The record was known already.
    Known,
    /// The record breaks an invariant, such as by a second end, and was dropped.
    Violation,
}

/// Moves and alarms known to a node.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    /// Sorted by id.
    entries: Vec<Entry>,
    /// Ids of the moves that have not ended, sorted.
    running: Vec<Id>,
    /// Alarms of moves that have not ended, sorted by id.
    alarms: Vec<Alarm>,
}

impl Catalogue {
    /// Maximum number of alarms of moves whose record is unknown.
    const MAX_ALARMS: usize = 4_096;

    /// Merges a record, which replaces the known one if it is newer.
    pub fn merge(&mut self, revision: Revision, record: Record) -> Merged {
        let entry = Entry {
            revision,
            record: rc::Rc::new(record),
        };
        let merged = match self.position(&entry.record.id) {
            Err(position) => {
                self.entries.insert(position, entry.clone());
                Merged::News
            }
            Ok(position) => replace(&mut self.entries[position], entry.clone()),
        };
        if matches!(merged, Merged::News | Merged::Detail) {
            self.update_lists(&entry.record);
        }
        merged
    }

    /// Updates the lists of running moves and of alarms after a merge of `record`.
    fn update_lists(&mut self, record: &Record) {
        let found = self.running.binary_search(&record.id);
        match (found, record.is_ended()) {
            (Err(position), false) => self.running.insert(position, record.id.clone()),
            (Ok(position), true) => {
                self.running.remove(position);
            }
            _ => {}
        }
        if record.is_ended() {
            self.alarms.retain(|alarm| alarm.id != record.id);
        }
    }

    /// Drops a move whose object was removed at `revision`.
    pub fn remove(&mut self, id: &Id, revision: Revision) {
        if let Ok(position) = self.position(id)
            && self.entries[position].revision < revision
        {
            self.entries.remove(position);
            self.running.retain(|running| running != id);
        }
    }

    /// Drops moves that ended before `limit`, except the last move of each service.
    pub fn expire(&mut self, limit: units::Wall) {
        let services: Vec<_> = self
            .entries
            .iter()
            .map(|entry| entry.record.service().into())
            .collect();
        let mut next: Vec<CompactString> = services.into_iter().skip(1).collect();
        next.push(CompactString::default());
        let mut next = next.into_iter();
        self.entries.retain(|entry| {
            let is_last = next
                .next()
                .is_none_or(|service| service != entry.record.service());
            is_last || entry.record.ended.is_none_or(|ended| ended >= limit)
        });
    }

    /// Adds an alarm; `true` if it is new and its move has not ended.
    pub fn add_alarm(&mut self, alarm: Alarm) -> bool {
        let has_ended = self
            .get(&alarm.id)
            .is_some_and(|entry| entry.record.is_ended());
        if has_ended || self.alarms.len() >= Self::MAX_ALARMS {
            return false;
        }
        match self
            .alarms
            .binary_search_by(|known| known.id.cmp(&alarm.id))
        {
            Ok(_) => false,
            Err(position) => {
                self.alarms.insert(position, alarm);
                true
            }
        }
    }

    /// The move with `id`.
    #[must_use]
    pub fn get(&self, id: &Id) -> Option<&Entry> {
        self.position(id)
            .ok()
            .map(|position| &self.entries[position])
    }

    /// The alarm of the move with `id`.
    #[must_use]
    pub fn alarm(&self, id: &Id) -> Option<&Alarm> {
        let position = self.alarms.binary_search_by(|alarm| alarm.id.cmp(id));
        position.ok().map(|position| &self.alarms[position])
    }

    /// All moves, sorted by id.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// All alarms, sorted by the id of their move.
    #[must_use]
    pub fn alarms(&self) -> &[Alarm] {
        &self.alarms
    }

    /// Moves that have not ended.
    pub fn running(&self) -> impl Iterator<Item = &Entry> {
        self.running.iter().filter_map(|id| self.get(id))
    }

    /// Moves of `service`, oldest first.
    #[must_use]
    pub fn of_service(&self, service: &str) -> &[Entry] {
        let start = self
            .entries
            .partition_point(|entry| entry.record.service() < service);
        let rest = &self.entries[start..];
        let count = rest.partition_point(|entry| entry.record.service() == service);
        &rest[..count]
    }

    /// The move that `operation` started.
    #[must_use]
    pub fn by_operation(&self, operation: &units::Operation) -> Option<&Entry> {
        let mut entries = self.entries.iter();
        entries.find(|entry| entry.record.operation == *operation)
    }

    /// Withheld versions as pairs of service and version, sorted.
    ///
    /// A version that was taken back stays withheld until a later move has it as its new version.
    #[must_use]
    pub fn withheld(&self) -> Vec<(CompactString, CompactString)> {
        let mut withheld: Vec<(CompactString, CompactString)> = Vec::new();
        for entry in &self.entries {
            let record = &entry.record;
            let pair = (record.service().into(), record.to.clone());
            withheld.retain(|other| *other != pair);
            let is_alarmed = !record.is_ended() && self.alarm(&record.id).is_some();
            if record.withholds() || (is_alarmed && !record.overridden) {
                withheld.push(pair);
            }
        }
        let unknown = self
            .alarms
            .iter()
            .filter(|alarm| self.get(&alarm.id).is_none());
        withheld.extend(unknown.map(|alarm| (alarm.id.service().into(), alarm.version.clone())));
        withheld.sort();
        withheld.dedup();
        withheld
    }

    /// Digests, one for each shard, of the data that all nodes should hold.
    #[must_use]
    pub fn digests(&self) -> Vec<u64> {
        let mut digests = vec![0_u64; usize::from(Shard::COUNT)];
        for entry in &self.entries {
            let record = &entry.record;
            let (id, state, fence) = (&record.id, record.state, record.fence);
            let text = format_compact!("{id} {state:?} {fence}");
            // The sum is independent of the order.
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

    fn position(&self, id: &Id) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.record.id.cmp(id))
    }
}

/// Replaces `held` with `entry`, of the same move, if that is newer.
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
