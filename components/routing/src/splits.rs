//! Versions of services whose versions the configuration does not list.

use std::cell;
use std::rc;

use compact_str::CompactString;

/// Which versions of a service take traffic where the configuration leaves that open; clones share
/// the state.
///
/// Without a move all established versions share the traffic. A version is established when it was
/// there first, or when a move has brought the traffic to it; another one gets nothing until a move
/// names it, or no established one is left.
#[derive(Debug, Clone, Default)]
pub struct Splits {
    state: rc::Rc<cell::RefCell<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// The moves are known, so that a version can be told from one that is on trial.
    known: bool,
    /// Sorted by service.
    entries: Vec<Entry>,
}

#[derive(Debug, Default, Clone)]
struct Entry {
    service: CompactString,
    established: Vec<CompactString>,
    /// The version that a move brings in.
    trial: Option<Trial>,
}

/// A version that a move brings in, and its share.
#[derive(Debug, Clone, PartialEq)]
pub struct Trial {
    /// The version.
    pub version: CompactString,
    /// Its part of the requests, from 0 to 1.
    pub share: f64,
}

/// Which versions a request may go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Drawn {
    /// Only this version; others where it has no backend server.
    Trial(CompactString),
    /// Any version but this one, which takes over only if `takes_over`.
    Others {
        /// The version on trial.
        trial: CompactString,
        /// Whether it has so large a share that it takes the traffic where no other one is ready.
        takes_over: bool,
    },
    /// The established versions.
    Established(Vec<CompactString>),
    /// It is not known which ones.
    Unknown,
}

impl Splits {
    /// Share from which a version on trial takes over the traffic of the others.
    const TAKES_OVER: f64 = 0.5;

    /// All moves are known from now on.
    pub fn set_known(&self) {
        self.state.borrow_mut().known = true;
    }

    /// Whether the moves are known.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.state.borrow().known
    }

    /// Sets the share of a version that a move brings in.
    pub fn set_trial(&self, service: &str, trial: Option<Trial>) {
        self.state.borrow_mut().entry(service).trial = trial;
    }

    /// A move has brought the traffic of `service` to `version`.
    pub fn establish(&self, service: &str, version: &str) {
        let mut state = self.state.borrow_mut();
        let entry = state.entry(service);
        entry.established = vec![version.into()];
        entry.trial = None;
    }

    /// Takes over which versions of `service` are ready: those are established where none of the
    /// established ones is left, but for one on trial.
    ///
    /// At first those that are ready `elsewhere` go before one that only this node has: a backend
    /// server of a new version and the node beside it start together, before a move names the version.
    pub fn observe(
        &self,
        service: &str,
        ready: &[CompactString],
        elsewhere: &[CompactString],
        open: impl Fn(&str) -> bool,
    ) {
        let mut state = self.state.borrow_mut();
        if !state.known {
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
        let fresh = ready
            .iter()
            .filter(|version| Some(*version) != trial && open(version));
        let mut fresh: Vec<_> = fresh.cloned().collect();
        let is_elsewhere = |version: &CompactString| elsewhere.contains(version);
        if entry.established.is_empty() && fresh.iter().any(is_elsewhere) {
            fresh.retain(is_elsewhere);
        }
        if !fresh.is_empty() {
            entry.established = fresh;
        }
    }

    /// Draws the versions for the request at `point` of all, from 0 up to 1.
    #[must_use]
    pub fn draw(&self, service: &str, point: f64) -> Drawn {
        let state = self.state.borrow();
        if !state.known {
            return Drawn::Unknown;
        }
        let Ok(place) = state.place(service) else {
            return Drawn::Established(Vec::new());
        };
        let entry = &state.entries[place];
        match &entry.trial {
            Some(trial) if point < trial.share => Drawn::Trial(trial.version.clone()),
            Some(trial) => Drawn::Others {
                trial: trial.version.clone(),
                takes_over: trial.share >= Self::TAKES_OVER,
            },
            None => Drawn::Established(entry.established.clone()),
        }
    }
}

impl State {
    fn place(&self, service: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.service.as_str().cmp(service))
    }

    fn entry(&mut self, service: &str) -> &mut Entry {
        let place = self.place(service).unwrap_or_else(|place| {
            let entry = Entry {
                service: service.into(),
                ..Entry::default()
            };
            self.entries.insert(place, entry);
            place
        });
        &mut self.entries[place]
    }
}
