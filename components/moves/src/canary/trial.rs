//! State of a move on this node.

use std::cell;
use std::rc;
use std::time;

use compact_str::CompactString;
use routing::{Observer, Sample};
use schema::moves as wire;

use super::{Judge, Observations, Order, Phase, Rise, Schedule};

/// State of a move on this node.
#[derive(Debug)]
pub(super) struct Trial {
    pub(super) order: Order,
    /// Key of the order, and revision of its object.
    pub(super) key: platform::Key,
    pub(super) revision: platform::Revision,
    /// Start of the move, as far as this node knows.
    started_at: time::Instant,
    /// Request counts of this node.
    local: Observations,
    /// Latency of the other versions by route, sorted by route name.
    baselines: Vec<(CompactString, Baseline)>,
    /// Request counts that other nodes have reported, sorted by node.
    remotes: Vec<Remote>,
    judge: Judge,
    rise: Rise,
    /// Reason why the version is bad, once this node knows it.
    pub(super) bad_reason: Option<CompactString>,
    /// Time at which this node decided on the status to be written.
    pub(super) decided_at: Option<time::Instant>,
    /// Whether the move has ended and the store does not show that any more.
    pub(super) is_end_lost: bool,
    /// Earlier orders for the service, latest last.
    earlier: Vec<Order>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Baseline {
    requests: u32,
    mean_ms: f64,
}

#[derive(Debug)]
struct Remote {
    node: CompactString,
    start_id: u64,
    current: Observations,
    /// Sum of the counts that the node reported before its restarts.
    earlier: Observations,
}

impl Trial {
    /// A request is slow when its latency exceeds this multiple of the baseline.
    const SLOW_FACTOR: f64 = 4.0;
    /// Milliseconds added to that limit: smaller differences come from the VM rather than the version.
    const SLOW_MIN_EXCESS_MS: f64 = 20.0;
    /// Number of earlier orders that are kept.
    const EARLIER_LIMIT: usize = 16;
    /// Requests after which the baseline latency is known.
    const BASELINE_MIN_REQUESTS: u32 = 5;

    pub(super) fn new(order: Order, key: platform::Key, revision: platform::Revision) -> Self {
        Self {
            rise: Rise::new(Schedule::new(order.period)),
            order,
            key,
            revision,
            started_at: time::Instant::now(),
            local: Observations::default(),
            baselines: Vec::new(),
            remotes: Vec::new(),
            judge: Judge::default(),
            bad_reason: None,
            decided_at: None,
            is_end_lost: false,
            earlier: Vec::new(),
        }
    }

    /// Remembers the order of `before`, which this trial replaces, and those before it.
    pub(super) fn follow(&mut self, before: &Self) {
        self.earlier = before.earlier.clone();
        self.earlier.push(before.order.clone());
        let excess = self.earlier.len().saturating_sub(Self::EARLIER_LIMIT);
        self.earlier.drain(..excess);
    }

    /// Whether a store that came back from a copy shows at `revision`, as `order`, the order of this
    /// trial, written again, or an earlier one.
    pub(super) fn is_restored(&self, order: &Order, revision: platform::Revision) -> bool {
        if revision.era() == self.revision.era() {
            return false;
        }
        let is_earlier = self.earlier.iter().any(|earlier| earlier.is_same(order));
        is_earlier || order.version == self.order.version
    }

    pub(super) fn elapsed(&self) -> time::Duration {
        self.started_at.elapsed()
    }

    pub(super) fn schedule(&self) -> Schedule {
        Schedule::new(self.order.period)
    }

    /// Moves the start back if another node has known the move for longer, namely for `elapsed`.
    pub(super) fn raise_elapsed(&mut self, elapsed: time::Duration) {
        let elapsed = elapsed.min(self.order.period.saturating_mul(2));
        if let Some(started_at) = time::Instant::now().checked_sub(elapsed) {
            self.started_at = self.started_at.min(started_at);
        }
    }

    /// Counts a sample of this node.
    fn observe(&mut self, sample: &Sample) {
        let is_new = sample.version == self.order.version;
        let index = self
            .baselines
            .binary_search_by(|one| one.0.cmp(&sample.route));
        let index = index.unwrap_or_else(|index| {
            let baseline = (sample.route.clone(), Baseline::default());
            self.baselines.insert(index, baseline);
            index
        });
        let baseline = &mut self.baselines[index].1;
        let latency_ms = sample.latency.as_secs_f64() * 1_000.0;
        let route = self.local.route(&sample.route);
        let is_known = baseline.requests >= Self::BASELINE_MIN_REQUESTS;
        let limit_ms = baseline.mean_ms * Self::SLOW_FACTOR + Self::SLOW_MIN_EXCESS_MS;
        let is_slow = is_known && !sample.failed && latency_ms > limit_ms;
        if is_new {
            route.requests += 1;
            route.failures += u64::from(sample.failed);
            route.slow += u64::from(is_slow);
        } else {
            const MIN_WEIGHT: f64 = 0.1;
            route.base_requests += 1;
            route.base_failures += u64::from(sample.failed);
            route.base_slow += u64::from(is_slow);
            baseline.requests = baseline.requests.saturating_add(1);
            let weight = MIN_WEIGHT.max(1.0 / f64::from(baseline.requests));
            baseline.mean_ms += (latency_ms - baseline.mean_ms) * weight;
        }
    }

    /// Replaces the counts of another node by those of its report.
    pub(super) fn apply_report(&mut self, report: &wire::CanaryReport) {
        let index = self
            .remotes
            .binary_search_by(|one| one.node.as_str().cmp(&report.node));
        let index = index.unwrap_or_else(|index| {
            let remote = Remote {
                node: report.node.as_str().into(),
                start_id: report.life,
                current: Observations::default(),
                earlier: Observations::default(),
            };
            self.remotes.insert(index, remote);
            index
        });
        let remote = &mut self.remotes[index];
        if remote.start_id != report.life {
            let current = std::mem::take(&mut remote.current);
            remote.earlier.add(&current);
            remote.start_id = report.life;
        }
        remote.current = Observations::decode(&report.routes);
    }

    /// Sum of the counts of this node and of all nodes that have reported to it.
    pub(super) fn observations(&self) -> Observations {
        let mut observations = self.local.clone();
        for remote in &self.remotes {
            observations.add(&remote.earlier);
            observations.add(&remote.current);
        }
        observations
    }

    /// Judges by all known counts; returns whether the version has just been found bad.
    ///
    /// A node to which the others do not report, as it is no judge, finds what is clearly bad, but knows
    /// too little to doubt or to decide.
    pub(super) fn judge(&mut self, is_judge: bool) -> bool {
        if self.bad_reason.is_some() || self.order.phase.is_end() {
            return false;
        }
        let observations = self.observations();
        self.bad_reason = self.judge.judge(&observations);
        if is_judge {
            self.weigh();
        }
        self.bad_reason.is_some()
    }

    /// Doubts the version, or decides on it once it has to be found good or bad.
    fn weigh(&mut self) {
        if self.schedule().has_to_decide(self.elapsed()) {
            self.bad_reason = self.bad_reason.take().or_else(|| self.judge.decide());
        } else if self.judge.doubts() {
            self.doubt();
        }
    }

    /// Keeps the share of the version for some time.
    pub(super) fn doubt(&mut self) {
        self.rise.doubt(self.elapsed());
    }

    /// Updates the share of the version and returns it.
    pub(super) fn update_share(&mut self) -> f64 {
        self.rise.update(self.elapsed())
    }

    /// The phase in which the move should end now, if it should.
    pub(super) fn end(&self, is_ready: bool) -> Option<Phase> {
        /// Requests to the new version that a move needs to end as done.
        const MIN_REQUESTS: u64 = 10;
        if self.bad_reason.is_some() {
            return Some(Phase::TakenBack);
        }
        let elapsed = self.elapsed();
        let schedule = self.schedule();
        if is_ready && self.rise.may_end(elapsed) && self.observations().requests() >= MIN_REQUESTS
        {
            return Some(Phase::Done);
        }
        schedule.has_expired(elapsed).then_some(Phase::TakenBack)
    }

    pub(super) fn report(&self, node: &units::Node, start_id: u64) -> wire::CanaryReport {
        wire::CanaryReport {
            service: self.order.service.to_string(),
            version: self.order.version.to_string(),
            node: node.to_string(),
            life: start_id,
            elapsed_ms: units::millis(self.elapsed()),
            routes: self.local.encode(),
            bad: self.bad_reason.as_deref().unwrap_or_default().to_owned(),
        }
    }

    pub(super) fn answer(&self) -> wire::CanaryAnswer {
        wire::CanaryAnswer {
            elapsed_ms: units::millis(self.elapsed()),
            bad: self.bad_reason.as_deref().unwrap_or_default().to_owned(),
            ended: self.order.phase.is_end(),
            doubted: self.judge.doubts(),
        }
    }
}

/// Records samples of the request path for the running moves; clones share their state.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    /// Sorted by service.
    pub(super) trials: rc::Rc<cell::RefCell<Vec<Trial>>>,
}

impl Recorder {
    /// Index of the trial of `service`, or the index at which to insert it.
    pub(super) fn position(trials: &[Trial], service: &str) -> Result<usize, usize> {
        trials.binary_search_by(|trial| trial.order.service.as_str().cmp(service))
    }
}

impl Observer for Recorder {
    fn observe(&self, sample: &Sample) {
        let mut trials = self.trials.borrow_mut();
        if let Ok(index) = Self::position(&trials, &sample.service)
            && !trials[index].order.phase.is_end()
        {
            trials[index].observe(sample);
        }
    }
}
