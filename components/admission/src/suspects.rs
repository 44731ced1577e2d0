//! Requests that were in flight when backend servers crashed.

use std::time;

use schema::admission as wire;

use crate::{Crash, Settings};

/// Requests that were in flight when backend servers crashed, by fingerprint.
///
/// A suspect runs alone, so that a second crash cannot be caused by concurrent requests. A request is
/// quarantined once it was in flight in two crashes, in one of them alone.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Sorted by fingerprint.
    entries: Vec<Entry>,
}

#[derive(Debug, Clone)]
struct Entry {
    fingerprint: u64,
    crashes: Vec<Crash>,
    last: time::Instant,
}

/// Standing of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The request is not a suspect.
    Clean,
    /// The request was in flight in a crash, and has to run alone.
    Suspect,
    /// The request was in flight in two crashes, and is refused for this time.
    Quarantined(time::Duration),
}

impl Entry {
    /// Number of crashes after which a request is quarantined.
    const QUARANTINE_CRASHES: usize = 2;
    /// Maximum number of crashes that are remembered per request.
    const MAX_CRASHES: usize = 4;

    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= Self::QUARANTINE_CRASHES
            && self.crashes.iter().any(|crash| crash.alone)
    }

    fn encode(&self, now: time::Instant) -> wire::Suspect {
        let age = now.saturating_duration_since(self.last);
        wire::Suspect {
            fingerprint: self.fingerprint,
            crashes: self.crashes.iter().map(Crash::encode).collect(),
            age_ms: units::millis(age),
        }
    }

    fn lifetime(&self, settings: &Settings) -> time::Duration {
        if self.is_quarantined() {
            settings.quarantine.0
        } else {
            settings.suspect_period.0
        }
    }

    /// Adds a crash; returns whether that changes the entry.
    fn add(&mut self, crash: &Crash, now: time::Instant) -> bool {
        let known = self.crashes.iter_mut().find(|known| known.is_same(crash));
        if let Some(known) = known {
            let changed = crash.alone && !known.alone;
            known.alone |= crash.alone;
            return changed;
        }
        if self.crashes.len() >= Self::MAX_CRASHES {
            return false;
        }
        self.crashes.push(crash.clone());
        self.last = self.last.max(now);
        true
    }
}

impl Suspects {
    /// Standing of the request.
    #[must_use]
    pub fn standing(&self, fingerprint: u64, now: time::Instant, settings: &Settings) -> Standing {
        let Ok(index) = self.find(fingerprint) else {
            return Standing::Clean;
        };
        let entry = &self.entries[index];
        let age = now.saturating_duration_since(entry.last);
        let left = entry.lifetime(settings).saturating_sub(age);
        if left.is_zero() {
            Standing::Clean
        } else if entry.is_quarantined() {
            Standing::Quarantined(left)
        } else {
            Standing::Suspect
        }
    }

    /// Whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Records that the request was in flight in `crash`; returns whether that changes the entry.
    pub fn add(
        &mut self,
        fingerprint: u64,
        crash: &Crash,
        now: time::Instant,
        settings: &Settings,
    ) -> bool {
        let index = match self.find(fingerprint) {
            Ok(index) => index,
            Err(_) => self.insert(fingerprint, now, settings),
        };
        self.entries[index].add(crash, now)
    }

    /// Removes a request that has finished; returns whether it was a suspect.
    pub fn clear(&mut self, fingerprint: u64) -> bool {
        match self.find(fingerprint) {
            Ok(index) => {
                self.entries.remove(index);
                true
            }
            Err(_) => false,
        }
    }

    /// Removes a `crash` that did not occur; returns whether any request was a suspect because of it.
    pub fn withdraw(&mut self, crash: &Crash) -> bool {
        let mut removed = false;
        for entry in &mut self.entries {
            let before = entry.crashes.len();
            entry.crashes.retain(|known| !known.is_same(crash));
            removed |= entry.crashes.len() < before;
        }
        self.entries.retain(|entry| !entry.crashes.is_empty());
        removed
    }

    /// Removes the entries whose period has ended.
    pub fn expire(&mut self, now: time::Instant, settings: &Settings) {
        self.entries
            .retain(|entry| now.saturating_duration_since(entry.last) < entry.lifetime(settings));
    }

    /// Merges a notice from another owner.
    pub fn merge(&mut self, notice: &wire::Notice, now: time::Instant, settings: &Settings) {
        for suspect in &notice.suspects {
            let age = time::Duration::from_millis(suspect.age_ms);
            let at = now.checked_sub(age).unwrap_or(now);
            for crash in suspect.crashes.iter().take(Entry::MAX_CRASHES) {
                if let Some(crash) = Crash::decode(crash) {
                    self.add(suspect.fingerprint, &crash, at, settings);
                }
            }
        }
        self.expire(now, settings);
        for fingerprint in &notice.cleared {
            self.clear(*fingerprint);
        }
        for crash in notice.withdrawn.iter().filter_map(Crash::decode) {
            self.withdraw(&crash);
        }
    }

    /// Encodes the suspect for a notice to other owners.
    #[must_use]
    pub fn encode(&self, fingerprint: u64, now: time::Instant) -> Option<wire::Suspect> {
        let index = self.find(fingerprint).ok()?;
        Some(self.entries[index].encode(now))
    }

    /// Suspects of which `node` reminds other owners: those in quarantine and those of crashes beside
    /// `node`; the latest first, at most `limit`.
    #[must_use]
    pub fn reminder(
        &self,
        node: &units::Node,
        limit: usize,
        now: time::Instant,
    ) -> Vec<wire::Suspect> {
        let beside = |crash: &Crash| crash.node == *node;
        let is_included =
            |entry: &&Entry| entry.is_quarantined() || entry.crashes.iter().any(beside);
        let mut entries: Vec<_> = self.entries.iter().filter(is_included).collect();
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.last));
        let entries = entries.into_iter().take(limit);
        entries.map(|entry| entry.encode(now)).collect()
    }

    fn find(&self, fingerprint: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
    }

    fn insert(&mut self, fingerprint: u64, now: time::Instant, settings: &Settings) -> usize {
        if self.entries.len() >= settings.suspects.max(1) {
            self.drop_oldest();
        }
        let index = self
            .entries
            .partition_point(|entry| entry.fingerprint < fingerprint);
        let entry = Entry {
            fingerprint,
            crashes: Vec::new(),
            last: now,
        };
        self.entries.insert(index, entry);
        index
    }

    /// Removes the oldest entry; those in quarantine are removed last.
    fn drop_oldest(&mut self) {
        let entries = self.entries.iter().enumerate();
        let oldest = entries.min_by_key(|(_, entry)| (entry.is_quarantined(), entry.last));
        if let Some((index, _)) = oldest {
            self.entries.remove(index);
        }
    }
}
