//! Traffic split of services whose versions the configuration does not list.

use std::cell;
use std::rc;

use compact_str::CompactString;

/// Traffic split of services whose versions the configuration does not list; clones share the state.
///
/// Without a move, all established versions share the traffic. A version is established if it was
/// present first or if a move has brought the traffic to it. Any other version gets no traffic until a
/// move names it or no established version is left.
#[derive(Debug, Clone, Default)]
pub struct Splits {
    state: rc::Rc<cell::RefCell<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Whether the moves are known, so that an established version can be distinguished from one on trial.
    moves_known: bool,
    /// How often what moves say of versions has changed.
    changes: u64,
    /// Sorted by service.
    entries: Vec<Entry>,
}

#[derive(Debug, Default, Clone)]
struct Entry {
    service: CompactString,
    established: Vec<CompactString>,
    /// Version that a move introduces.
    trial: Option<Trial>,
}

/// Version that a move introduces, with its share.
#[derive(Debug, Clone, PartialEq)]
pub struct Trial {
    /// Name of the version.
    pub version: CompactString,
    /// Share of the requests, from 0 to 1.
    pub share: f64,
}

/// Result of a draw: the versions to which a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Draw {
    /// Only this version, or others if it has no backend server.
    Trial(CompactString),
    /// Any version other than `trial`, which takes over only if `takes_over`.
    Others {
        /// Version on trial.
        trial: CompactString,
        /// Whether the share of the trial is large enough to take the traffic if no other version is ready.
        takes_over: bool,
    },
    /// Only the established versions.
    Established(Vec<CompactString>),
    /// No version, as the moves are not known yet.
    Unknown,
}

impl Splits {
    /// Share from which a version on trial takes over the traffic of the others.
    const TAKEOVER_SHARE: f64 = 0.5;

    /// Records that all moves are known from now on.
    pub fn set_moves_known(&self) {
        let mut state = self.state.borrow_mut();
        state.changes += u64::from(!state.moves_known);
        state.moves_known = true;
    }

    /// How often what moves say of versions has changed: whether they are known, which versions are on trial and
    /// which they have established.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.state.borrow().changes
    }

    /// Whether the moves are known.
    #[must_use]
    pub fn are_moves_known(&self) -> bool {
        self.state.borrow().moves_known
    }

    /// Sets or clears the version that a move introduces.
    pub fn set_trial(&self, service: &str, trial: Option<Trial>) {
        let mut state = self.state.borrow_mut();
        let version_of = |trial: &Option<Trial>| trial.as_ref().map(|trial| trial.version.clone());
        let entry = state.entry(service);
        let has_changed = version_of(&entry.trial) != version_of(&trial);
        entry.trial = trial;
        state.changes += u64::from(has_changed);
    }

    /// Records that a move has brought the traffic of `service` to `version`.
    pub fn establish(&self, service: &str, version: &str) {
        let mut state = self.state.borrow_mut();
        let entry = state.entry(service);
        entry.established = vec![version.into()];
        entry.trial = None;
        state.changes += 1;
    }

    /// Updates the established versions of `service`: if none of them is `ready` any more, the ready
    /// versions other than the one on trial become established.
    ///
    /// At first, versions that are ready `elsewhere` precede one that only this node has, because a
    /// backend server of a new version and the node beside it start together, before a move names it.
    pub fn update_ready(
        &self,
        service: &str,
        ready: &[CompactString],
        elsewhere: &[CompactString],
        allowed: impl Fn(&str) -> bool,
    ) {
        let mut state = self.state.borrow_mut();
        if !state.moves_known {
            return;
        }
        let entry = state.entry(service);
        if ready
            .iter()
            .any(|version| entry.established.contains(version))
        {
            return;
        }
        let trial = entry.trial.as_ref().map(|trial| &trial.version);
        let eligible = ready
            .iter()
            .filter(|version| Some(*version) != trial && allowed(version));
        let mut eligible: Vec<_> = eligible.cloned().collect();
        let is_elsewhere = |version: &CompactString| elsewhere.contains(version);
        if entry.established.is_empty() && eligible.iter().any(is_elsewhere) {
            eligible.retain(is_elsewhere);
        }
        if !eligible.is_empty() {
            entry.established = eligible;
        }
    }

    /// Draws the versions for a request; `point` is its position among all requests, in [0, 1).
    #[must_use]
    pub fn draw(&self, service: &str, point: f64) -> Draw {
        let state = self.state.borrow();
        if !state.moves_known {
            return Draw::Unknown;
        }
        let Ok(index) = state.position(service) else {
            return Draw::Established(Vec::new());
        };
        let entry = &state.entries[index];
        match &entry.trial {
            Some(trial) if point < trial.share => Draw::Trial(trial.version.clone()),
            Some(trial) => Draw::Others {
                trial: trial.version.clone(),
                takes_over: trial.share >= Self::TAKEOVER_SHARE,
            },
            None => Draw::Established(entry.established.clone()),
        }
    }
}

impl State {
    fn position(&self, service: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.service.as_str().cmp(service))
    }

    fn entry(&mut self, service: &str) -> &mut Entry {
        let index = self.position(service).unwrap_or_else(|index| {
            let entry = Entry {
                service: service.into(),
                ..Entry::default()
            };
            self.entries.insert(index, entry);
            index
        });
        &mut self.entries[index]
    }
}
