//! The canary service, which follows orders in the store.

use std::cell;
use std::rc;
use std::time;

use compact_str::CompactString;
use platform::{Follower, Pace, Store};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use super::orders::Orders;
use super::trial::Trial;
use super::{Recorder, Source};

/// Name under which nodes exchange reports.
pub const NAME: &str = "canary";

units::record! {
    /// Settings of short moves.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields, default)]
    pub struct Settings {
        /// Longest time for which one watch of the orders waits. A watch that has stopped delivering
        /// changes is detected after this time, or when another node reports a move that this node
        /// does not know.
        pub watch_wait: units::Period,
        /// Interval between reports to the nodes that judge.
        pub period: units::Period,
        /// Number of nodes that judge a move.
        pub judges: usize,
        /// Time for which a judge waits for the judge ranked before it to write an end.
        pub write_after: units::Period,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            watch_wait: units::Period::from_secs(10),
            period: units::Period::from_millis(200),
            judges: 3,
            write_after: units::Period::from_millis(500),
        }
    }
}

/// Dependencies of the canary service.
pub struct Parts<S, L, O> {
    /// This node.
    pub node: units::Node,
    /// The store that holds the orders.
    pub store: S,
    /// Sends reports to other nodes.
    pub link: L,
    /// Decodes and encodes orders.
    pub source: O,
    /// The members of the mesh.
    pub members: membership::Reader,
    /// Reports whether this node has joined the other nodes.
    pub monitor: membership::Monitor,
    /// Receives the traffic shares.
    pub splits: routing::Splits,
    /// Receives the versions that get no traffic.
    pub withheld: routing::Withheld,
    /// Settings of short moves.
    pub settings: Settings,
}

/// Runs the moves that the orders in the store request.
pub struct Canary<S, L, O> {
    shared: rc::Rc<Shared<S, L, O>>,
    follower: Follower<S>,
    incoming: kernel::Inbox<peer::Incoming>,
}

/// State shared by the tasks of the service.
pub(super) struct Shared<S, L, O> {
    pub(super) parts: Parts<S, L, O>,
    pub(super) recorder: Recorder,
    /// Random number that identifies this run of the node.
    pub(super) start_id: u64,
    /// Makes the follower read the orders again.
    pub(super) nudge: platform::Nudge,
    /// Time of the first complete read of the orders.
    pub(super) listed_at: cell::Cell<Option<time::Instant>>,
    /// Time at which this node was first seen to have joined the other nodes.
    joined_at: cell::Cell<Option<time::Instant>>,
}

impl<S: Store + Clone, L: peer::Link, O: Source> Canary<S, L, O> {
    /// Bounds of the backoff after a failed call to the store.
    const RETRY_MIN: time::Duration = time::Duration::from_millis(100);
    const RETRY_MAX: time::Duration = time::Duration::from_millis(800);

    /// Creates a service that receives reports of other nodes from `incoming`.
    #[must_use]
    pub fn new(parts: Parts<S, L, O>, incoming: kernel::Inbox<peer::Incoming>) -> Self {
        let pace = Pace {
            wait: parts.settings.watch_wait.0,
            pause: time::Duration::ZERO,
            retry_least: Self::RETRY_MIN,
            retry_most: Self::RETRY_MAX,
        };
        let (follower, nudge) = Follower::new(parts.store.clone(), pace);
        let shared = Shared {
            parts,
            recorder: Recorder::default(),
            start_id: rand::random(),
            nudge,
            listed_at: cell::Cell::new(None),
            joined_at: cell::Cell::new(None),
        };
        Self {
            shared: rc::Rc::new(shared),
            follower,
            incoming,
        }
    }

    /// The recorder for samples of the request path.
    #[must_use]
    pub fn recorder(&self) -> Recorder {
        self.shared.recorder.clone()
    }
}

impl<S: Store + Clone, L: peer::Link, O: Source> kernel::Service for Canary<S, L, O> {
    const NAME: &'static str = NAME;

    async fn run(self, stop: kernel::Stop) {
        let shared = self.shared;
        let orders = Orders::new(shared.clone());
        let watching = compio::runtime::spawn(self.follower.run(orders, stop.clone()));
        let ticking = compio::runtime::spawn(shared.clone().run_ticks(stop.clone()));
        let mut incoming = self.incoming;
        while let Some(Some(request)) = stop.guard(incoming.receive()).await {
            shared.serve(request);
        }
        for task in [watching, ticking] {
            if task.await.is_err() {
                log::error!("a task of the canary service panicked");
            }
        }
    }
}

impl<S: Store, L: peer::Link, O: Source> Shared<S, L, O> {
    /// Time from joining until the view used for routing contains the other nodes.
    const VIEW_DELAY: time::Duration = time::Duration::from_millis(150);
    /// Longest wait for the other nodes after the orders have been read.
    const JOIN_TIMEOUT: time::Duration = time::Duration::from_secs(2);

    async fn run_ticks(self: rc::Rc<Self>, stop: kernel::Stop) {
        let period = self.parts.settings.period.0;
        while stop.sleep(period).await {
            self.allow_known_versions();
            for service in self.services(|trial| !trial.order.phase.is_end()) {
                self.tick(&service);
            }
            for service in self.services(|trial| trial.is_end_lost) {
                self.restore_end(&service);
            }
        }
    }

    /// Services whose trials satisfy `condition`.
    fn services(&self, condition: impl Fn(&Trial) -> bool) -> Vec<CompactString> {
        let trials = self.recorder.trials.borrow();
        let chosen = trials.iter().filter(|trial| condition(trial));
        chosen.map(|trial| trial.order.service.clone()).collect()
    }

    /// Writes an end that the store has lost again, if this node is a judge.
    fn restore_end(self: &rc::Rc<Self>, service: &CompactString) {
        let mut judges = self.judges(service).into_iter();
        let rank = judges.position(|judge| judge.node == self.parts.node);
        if let Some(rank) = rank {
            self.update_status(service, rank);
        }
    }

    /// Allows requests to all running versions once the orders and the other nodes are known. Before
    /// that, a node that knows only the backend server beside it would take a version on trial for
    /// the established one.
    fn allow_known_versions(&self) {
        let Some(listed_at) = self.listed_at.get() else {
            return;
        };
        if self.parts.monitor.is_joined() && self.joined_at.get().is_none() {
            self.joined_at.set(Some(time::Instant::now()));
        }
        let joined_at = self.joined_at.get();
        let is_in_view = joined_at.is_some_and(|joined_at| joined_at.elapsed() >= Self::VIEW_DELAY);
        if is_in_view || listed_at.elapsed() >= Self::JOIN_TIMEOUT {
            self.parts.splits.set_moves_known();
        }
    }

    /// Calls `work` with the trial of `service`, if there is one.
    pub(super) fn with_trial<T>(
        &self,
        service: &str,
        work: impl FnOnce(&mut Trial) -> T,
    ) -> Option<T> {
        let mut trials = self.recorder.trials.borrow_mut();
        let index = Recorder::position(&trials, service).ok()?;
        Some(work(&mut trials[index]))
    }

    /// Updates the share, reports to the judges, and judges if this node is a judge.
    fn tick(self: &rc::Rc<Self>, service: &CompactString) {
        let judges = self.judges(service);
        let node = &self.parts.node;
        let rank = judges.iter().position(|judge| judge.node == *node);
        let Some((found, report)) = self.with_trial(service, |trial| {
            let found = trial.judge(rank.is_some());
            (found, trial.report(node, self.start_id))
        }) else {
            return;
        };
        if found {
            self.withhold_and_notify(service);
        }
        self.apply_share(service);
        for judge in judges.iter().filter(|judge| judge.node != *node) {
            let shared = self.clone();
            let (to, report) = (judge.peer_address, report.clone());
            compio::runtime::spawn(async move { shared.send_report(to, report).await }).detach();
        }
        if let Some(rank) = rank {
            self.update_status(service, rank);
        }
    }

    /// The members that judge the move of `service`, in the order of their ranks.
    fn judges(&self, service: &str) -> Vec<rc::Rc<membership::Member>> {
        let view = self.parts.members.get();
        let key = xxh3::xxh3_64(service.as_bytes());
        let mut ranked: Vec<_> = view.running().cloned().collect();
        ranked.sort_by_cached_key(|member| std::cmp::Reverse(routing::rank(&member.node, key)));
        ranked.truncate(self.parts.settings.judges);
        ranked
    }

    fn apply_share(&self, service: &str) {
        let share = self.with_trial(service, |trial| {
            let share = trial.update_share();
            let is_open = trial.bad_reason.is_none() && !trial.order.phase.is_end();
            is_open.then(|| (trial.order.version.clone(), share))
        });
        if let Some(Some((version, share))) = share {
            let trial = routing::Trial { version, share };
            self.parts.splits.set_trial(service, Some(trial));
        }
    }
}
