//! A move under way, as a node sees it.

use std::cell;
use std::rc;
use std::time;

use compact_str::CompactString;
use routing::{Observer, Sample};
use schema::moves as wire;

use super::{Judge, Order, Phase, Schedule, Sight};

/// A move under way, as a node sees it.
#[derive(Debug)]
pub(super) struct Trial {
    pub(super) order: Order,
    /// Key of the order, and revision of its object.
    pub(super) key: platform::Key,
    pub(super) revision: platform::Revision,
    /// When the move began, as far as this node knows.
    began: time::Instant,
    /// What this node saw.
    own: Sight,
    /// Usual latency of the other versions, by route, sorted by name.
    usual: Vec<(CompactString, Usual)>,
    /// What others told, sorted by node.
    told: Vec<Told>,
    judge: Judge,
    /// Why the version is bad, once that is known here.
    pub(super) bad: Option<CompactString>,
    /// When this node decided the end that is to be written.
    pub(super) decided: Option<time::Instant>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Usual {
    requests: u32,
    millis: f64,
}

#[derive(Debug)]
struct Told {
    node: CompactString,
    life: u64,
    sight: Sight,
    /// What the same node told before it started anew.
    before: Sight,
}

impl Trial {
    /// A request is slow when it takes this many times the usual latency.
    const SLOW: f64 = 4.0;
    /// Milliseconds beyond that: below them a difference says more about the VM than the version.
    const SLOW_LEAST_MS: f64 = 20.0;
    /// Requests after which the usual latency is known.
    const USUAL_LEAST: u32 = 5;

    pub(super) fn new(order: Order, key: platform::Key, revision: platform::Revision) -> Self {
        Self {
            order,
            key,
            revision,
            began: time::Instant::now(),
            own: Sight::default(),
            usual: Vec::new(),
            told: Vec::new(),
            judge: Judge::default(),
            bad: None,
            decided: None,
        }
    }

    pub(super) fn elapsed(&self) -> time::Duration {
        self.began.elapsed()
    }

    pub(super) fn schedule(&self) -> Schedule {
        Schedule::new(self.order.period)
    }

    /// Another node has known of the move for `elapsed`.
    pub(super) fn hear(&mut self, elapsed: time::Duration) {
        let elapsed = elapsed.min(self.order.period.saturating_mul(2));
        if let Some(began) = time::Instant::now().checked_sub(elapsed) {
            self.began = self.began.min(began);
        }
    }

    /// Takes a sample of this node.
    fn observe(&mut self, sample: &Sample) {
        let new = sample.version == self.order.version;
        let place = self.usual.binary_search_by(|one| one.0.cmp(&sample.route));
        let place = place.unwrap_or_else(|place| {
            let usual = (sample.route.clone(), Usual::default());
            self.usual.insert(place, usual);
            place
        });
        let usual = &mut self.usual[place].1;
        let millis = sample.latency.as_secs_f64() * 1_000.0;
        let route = self.own.route(&sample.route);
        if new {
            let known = usual.requests >= Self::USUAL_LEAST;
            route.requests += 1;
            route.failures += u64::from(sample.failed);
            route.slow +=
                u64::from(known && millis > usual.millis * Self::SLOW + Self::SLOW_LEAST_MS);
        } else {
            const PART: f64 = 0.1;
            route.base_requests += 1;
            route.base_failures += u64::from(sample.failed);
            usual.requests = usual.requests.saturating_add(1);
            let part = PART.max(1.0 / f64::from(usual.requests));
            usual.millis += (millis - usual.millis) * part;
        }
    }

    /// Takes the report of another node.
    pub(super) fn take(&mut self, report: &wire::CanaryReport) {
        let place = self
            .told
            .binary_search_by(|one| one.node.as_str().cmp(&report.node));
        let place = place.unwrap_or_else(|place| {
            let told = Told {
                node: report.node.as_str().into(),
                life: report.life,
                sight: Sight::default(),
                before: Sight::default(),
            };
            self.told.insert(place, told);
            place
        });
        let told = &mut self.told[place];
        if told.life != report.life {
            let sight = std::mem::take(&mut told.sight);
            told.before.add(&sight);
            told.life = report.life;
        }
        told.sight = Sight::decode(&report.routes);
    }

    /// What all nodes saw that told this one.
    pub(super) fn sight(&self) -> Sight {
        let mut sight = self.own.clone();
        for told in &self.told {
            sight.add(&told.before);
            sight.add(&told.sight);
        }
        sight
    }

    /// Judges by all that is known here; whether badness was found now.
    pub(super) fn judge(&mut self) -> bool {
        if self.bad.is_some() || self.order.phase.is_end() {
            return false;
        }
        let sight = self.sight();
        self.bad = self.judge.judge(&sight);
        self.bad.is_some()
    }

    /// The end that the move has come to by now, if it has.
    pub(super) fn end(&self, is_ready: bool) -> Option<Phase> {
        /// Requests of the new version without which a move is not done.
        const REQUESTS_LEAST: u64 = 10;
        if self.bad.is_some() {
            return Some(Phase::TakenBack);
        }
        let elapsed = self.elapsed();
        let schedule = self.schedule();
        if is_ready && schedule.may_end(elapsed) && self.sight().requests() >= REQUESTS_LEAST {
            return Some(Phase::Done);
        }
        schedule.is_over(elapsed).then_some(Phase::TakenBack)
    }

    pub(super) fn report(&self, node: &units::Node, life: u64) -> wire::CanaryReport {
        wire::CanaryReport {
            service: self.order.service.to_string(),
            version: self.order.version.to_string(),
            node: node.to_string(),
            life,
            elapsed_ms: units::millis(self.elapsed()),
            routes: self.own.encode(),
            bad: self.bad.as_deref().unwrap_or_default().to_owned(),
        }
    }

    pub(super) fn answer(&self) -> wire::CanaryAnswer {
        wire::CanaryAnswer {
            elapsed_ms: units::millis(self.elapsed()),
            bad: self.bad.as_deref().unwrap_or_default().to_owned(),
            ended: self.order.phase.is_end(),
        }
    }
}

/// Takes samples of the request path for the moves under way; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    /// Sorted by service.
    pub(super) trials: rc::Rc<cell::RefCell<Vec<Trial>>>,
}

impl Recorder {
    /// The place of the trial of `service`.
    pub(super) fn place(trials: &[Trial], service: &str) -> Result<usize, usize> {
        trials.binary_search_by(|trial| trial.order.service.as_str().cmp(service))
    }
}

impl Observer for Recorder {
    fn observe(&self, sample: &Sample) {
        let mut trials = self.trials.borrow_mut();
        if let Ok(place) = Self::place(&trials, &sample.service)
            && !trials[place].order.phase.is_end()
        {
            trials[place].observe(sample);
        }
    }
}
