//! State that the services of the stand-in share.

use std::cell;
use std::io;
use std::rc;
use std::time;

use futures_channel::mpsc;
use rand::{Rng, SeedableRng, rngs};
use schema::announce::Phase;
use serde::Serialize;

use crate::{Bad, Counts, Distribution, Ending, Faults, Health, Load, Record, Run, Settings};

/// Handle on the shared state; clones are the same state.
#[derive(Clone)]
pub struct State {
    inner: rc::Rc<Inner>,
}

struct Inner {
    settings: Settings,
    instance: u64,
    started: time::Instant,
    phase: cell::Cell<Phase>,
    leaving: cell::Cell<Option<time::Instant>>,
    running: cell::Cell<u32>,
    ready_requests: cell::Cell<u32>,
    faults: cell::RefCell<Faults>,
    faults_since: cell::Cell<time::Instant>,
    record: cell::RefCell<Record>,
    random: cell::RefCell<rngs::StdRng>,
    changed: mpsc::UnboundedSender<()>,
}

/// What a dump shows.
#[derive(Debug, Serialize)]
pub struct Dump {
    service: units::Service,
    version: String,
    instance: u64,
    phase: &'static str,
    running: u32,
    uptime_ms: u64,
    counts: Counts,
    faults: Faults,
    settings: Settings,
}

/// Wakes the announcer at each change.
pub type Changes = mpsc::UnboundedReceiver<()>;

impl State {
    /// The state of a process that starts now, and the signal of its changes.
    ///
    /// # Errors
    /// The error of the operating system, when the record file cannot be opened.
    pub fn new(settings: Settings) -> io::Result<(Self, Changes)> {
        let (changed, changes) = mpsc::unbounded();
        let record = Record::open(settings.record_limit, settings.record_file.as_deref())?;
        let now = time::Instant::now();
        let inner = Inner {
            instance: rand::rng().random(),
            started: now,
            phase: cell::Cell::new(Phase::Starting),
            leaving: cell::Cell::new(None),
            running: cell::Cell::new(0),
            ready_requests: cell::Cell::new(0),
            faults: cell::RefCell::new(settings.faults.clone()),
            faults_since: cell::Cell::new(now),
            record: cell::RefCell::new(record),
            random: cell::RefCell::new(rngs::StdRng::seed_from_u64(settings.seed)),
            changed,
            settings,
        };
        let inner = rc::Rc::new(inner);
        Ok((Self { inner }, changes))
    }

    /// The settings.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.inner.settings
    }

    /// Random number of this process.
    #[must_use]
    pub fn instance(&self) -> u64 {
        self.inner.instance
    }

    /// The current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.inner.phase.get()
    }

    /// Enters `phase` and has it announced.
    pub fn enter(&self, phase: Phase) {
        self.inner.phase.set(phase);
        if phase == Phase::Draining && self.inner.leaving.get().is_none() {
            self.inner.leaving.set(Some(time::Instant::now()));
        }
        // Fails only when the announcer has stopped.
        let _ = self.inner.changed.unbounded_send(());
    }

    /// Milliseconds since the process began to leave.
    #[must_use]
    pub fn leaving_ms(&self) -> Option<u64> {
        let since = self.inner.leaving.get()?.elapsed().as_millis();
        u64::try_from(since).ok()
    }

    /// The current faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.inner.faults.borrow().clone()
    }

    /// Replaces the faults; their times count from now.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.faults.replace(faults);
        self.inner.faults_since.set(time::Instant::now());
        let _ = self.inner.changed.unbounded_send(());
    }

    /// The fault that shows on a request to `path`, if one does.
    #[must_use]
    pub fn bad(&self, path: &str) -> Option<Bad> {
        let faults = self.inner.faults.borrow();
        let bad = faults.bad.as_ref()?;
        let shows = bad.concerns(path) && self.shows(bad) && self.draw(bad.share);
        shows.then(|| bad.clone())
    }

    /// Takes a slot, unless all are in use.
    #[must_use]
    pub fn take_slot(&self) -> Option<Slot> {
        let running = self.inner.running.get();
        if running >= self.inner.settings.slots {
            return None;
        }
        self.inner.running.set(running + 1);
        self.record(|record| {
            let most = &mut record.counts_mut().most_running;
            *most = (*most).max(running + 1);
        });
        let state = self.clone();
        Some(Slot { state })
    }

    /// Health and load as announced, before any lag.
    #[must_use]
    pub fn hints(&self) -> Hints {
        let faults = self.inner.faults.borrow();
        let healthy = match faults.health {
            Health::Truthful => !faults.bad.as_ref().is_some_and(|bad| self.shows(bad)),
            Health::Healthy => true,
            Health::Unhealthy => false,
        };
        let load = match faults.load {
            Load::Truthful => self.used(),
            Load::Idle => 0.0,
            Load::Full => 1.0,
        };
        let whole = f64::from(units::Share::WHOLE.parts());
        // From 0 to 10,000.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let load = (load * whole) as u32;
        Hints { healthy, load }
    }

    /// Time that the next request takes.
    #[must_use]
    pub fn service_time(&self) -> time::Duration {
        let settings = &self.inner.settings;
        let mean = settings.service_time.mean.0;
        let time = match settings.service_time.distribution {
            Distribution::Fixed => mean,
            Distribution::Exponential => {
                let uniform: f64 = self.inner.random.borrow_mut().random();
                mean.mul_f64(-(1.0 - uniform).ln())
            }
        };
        time + self.cold_time()
    }

    /// Uses the record.
    pub fn record<T>(&self, work: impl FnOnce(&mut Record) -> T) -> T {
        work(&mut self.inner.record.borrow_mut())
    }

    /// Records that `run` begins.
    #[must_use]
    pub fn begin(&self, run: Run) -> Execution {
        let number = self.record(|record| record.start(run));
        Execution {
            state: self.clone(),
            number,
            ending: Ending::Cancelled,
        }
    }

    /// The state as JSON.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let settings = self.inner.settings.clone();
        Dump {
            service: settings.service.clone(),
            version: settings.version.to_string(),
            instance: self.inner.instance,
            phase: self.phase().as_str_name(),
            running: self.inner.running.get(),
            uptime_ms: u64::try_from(self.inner.started.elapsed().as_millis()).unwrap_or(u64::MAX),
            counts: self.record(|record| record.counts().clone()),
            faults: self.faults(),
            settings,
        }
    }

    /// Part of the slots that are in use.
    fn used(&self) -> f64 {
        f64::from(self.inner.running.get()) / f64::from(self.inner.settings.slots)
    }

    fn shows(&self, bad: &Bad) -> bool {
        bad.shows(self.inner.faults_since.get().elapsed(), self.used())
    }

    fn draw(&self, share: units::Share) -> bool {
        let mut random = self.inner.random.borrow_mut();
        share == units::Share::WHOLE || random.random_bool(share.as_fraction())
    }

    /// What the request takes longer since the process is cold.
    fn cold_time(&self) -> time::Duration {
        let cold = &self.inner.settings.cold_start;
        let earlier = self.inner.ready_requests.get();
        if earlier >= cold.slow_requests {
            return time::Duration::ZERO;
        }
        self.inner.ready_requests.set(earlier + 1);
        cold.slow_by.0
    }
}

/// What is announced about the state of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hints {
    /// Whether it claims to be healthy.
    pub healthy: bool,
    /// Load in parts per 10,000 of the slots.
    pub load: u32,
}

/// A slot in use, free again when dropped.
pub struct Slot {
    state: State,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let running = &self.state.inner.running;
        running.set(running.get() - 1);
    }
}

/// An execution that has begun; dropped without an ending it counts as cancelled.
pub struct Execution {
    state: State,
    number: u64,
    ending: Ending,
}

impl Execution {
    /// Records how it ended.
    pub fn close(mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        let instance = self.state.inner.instance;
        self.state
            .record(|record| record.end(instance, self.number, self.ending));
    }
}
