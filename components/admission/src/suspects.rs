//! Requests that were in flight when backend servers crashed.

use std::time;

use schema::admission as wire;

use crate::{Crash, Settings};

/// Requests that were in flight when backend servers crashed, by fingerprint.
///
/// A suspect runs alone, so that its second crash tells it apart from its neighbours: it is
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

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is known against it.
    Clean,
    /// It was in flight in a crash; it runs alone.
    Suspect,
    /// It was in flight in two crashes; it is refused for this time.
    Quarantined(time::Duration),
}

impl Entry {
    /// Crashes after which a request is quarantined.
    const CRASHES: usize = 2;
    /// Crashes that are remembered of one request.
    const KEPT: usize = 4;

    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= Self::CRASHES && self.crashes.iter().any(|crash| crash.alone)
    }

    fn describe(&self, now: time::Instant) -> wire::Suspect {
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

    /// Returns whether the crash is news.
    fn add(&mut self, crash: &Crash, now: time::Instant) -> bool {
        let known = self.crashes.iter_mut().find(|known| known.is_same(crash));
        if let Some(known) = known {
            let news = crash.alone && !known.alone;
            known.alone |= crash.alone;
            return news;
        }
        if self.crashes.len() >= Self::KEPT {
            return false;
        }
        self.crashes.push(crash.clone());
        self.last = self.last.max(now);
        true
    }
}

impl Suspects {
    /// How the request stands.
    #[must_use]
    pub fn standing(&self, fingerprint: u64, now: time::Instant, settings: &Settings) -> Standing {
        let Ok(place) = self.place(fingerprint) else {
            return Standing::Clean;
        };
        let entry = &self.entries[place];
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

    /// Whether nobody is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The request was in flight in `crash`; returns whether that is news.
    pub fn add(
        &mut self,
        fingerprint: u64,
        crash: &Crash,
        now: time::Instant,
        settings: &Settings,
    ) -> bool {
        let place = match self.place(fingerprint) {
            Ok(place) => place,
            Err(_) => self.insert(fingerprint, now, settings),
        };
        self.entries[place].add(crash, now)
    }

    /// The request has finished; returns whether it was a suspect.
    pub fn clear(&mut self, fingerprint: u64) -> bool {
        match self.place(fingerprint) {
            Ok(place) => {
                self.entries.remove(place);
                true
            }
            Err(_) => false,
        }
    }

    /// `crash` turned out to be none; returns whether anyone was suspected for it.
    pub fn withdraw(&mut self, crash: &Crash) -> bool {
        let mut any = false;
        for entry in &mut self.entries {
            let before = entry.crashes.len();
            entry.crashes.retain(|known| !known.is_same(crash));
            any |= entry.crashes.len() < before;
        }
        self.entries.retain(|entry| !entry.crashes.is_empty());
        any
    }

    /// Drops what has outlived its period.
    pub fn expire(&mut self, now: time::Instant, settings: &Settings) {
        self.entries
            .retain(|entry| now.saturating_duration_since(entry.last) < entry.lifetime(settings));
    }

    /// Takes over what another owner tells.
    pub fn merge(&mut self, notice: &wire::Notice, now: time::Instant, settings: &Settings) {
        for suspect in &notice.suspects {
            let age = time::Duration::from_millis(suspect.age_ms);
            let at = now.checked_sub(age).unwrap_or(now);
            for crash in suspect.crashes.iter().take(Entry::KEPT) {
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

    /// What to tell other owners of the request.
    #[must_use]
    pub fn describe(&self, fingerprint: u64, now: time::Instant) -> Option<wire::Suspect> {
        let place = self.place(fingerprint).ok()?;
        Some(self.entries[place].describe(now))
    }

    /// What `node` reminds other owners of: quarantines, and suspects of crashes beside it; the latest
    /// first, not more than `most`.
    #[must_use]
    pub fn remind(
        &self,
        node: &units::Node,
        most: usize,
        now: time::Instant,
    ) -> Vec<wire::Suspect> {
        let beside = |crash: &Crash| crash.node == *node;
        let told = |entry: &&Entry| entry.is_quarantined() || entry.crashes.iter().any(beside);
        let mut entries: Vec<_> = self.entries.iter().filter(told).collect();
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.last));
        let entries = entries.into_iter().take(most);
        entries.map(|entry| entry.describe(now)).collect()
    }

    fn place(&self, fingerprint: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
    }

    fn insert(&mut self, fingerprint: u64, now: time::Instant, settings: &Settings) -> usize {
        if self.entries.len() >= settings.suspects.max(1) {
            self.drop_oldest();
        }
        let place = self
            .entries
            .partition_point(|entry| entry.fingerprint < fingerprint);
        let entry = Entry {
            fingerprint,
            crashes: Vec::new(),
            last: now,
        };
        self.entries.insert(place, entry);
        place
    }

    /// Makes room: suspects go before those in quarantine.
    fn drop_oldest(&mut self) {
        let entries = self.entries.iter().enumerate();
        let oldest = entries.min_by_key(|(_, entry)| (entry.is_quarantined(), entry.last));
        if let Some((place, _)) = oldest {
            self.entries.remove(place);
        }
    }
}
