//! The service that follows orders.

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
        /// Longest time that one watch of the orders waits; one that has gone silent is noticed after
        /// it, or when another node tells of a move that is not known here.
        pub watch_wait: units::Period,
        /// Time between two reports to the nodes that judge.
        pub period: units::Period,
        /// Nodes that judge a move.
        pub judges: usize,
        /// Time for which a judge waits for the one that ranks before it to write an end.
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

/// What the service is built from.
pub struct Parts<S, L, O> {
    /// This node.
    pub node: units::Node,
    /// The store with the orders.
    pub store: S,
    /// Sends reports to other nodes.
    pub link: L,
    /// The form of the orders.
    pub source: O,
    /// The other nodes.
    pub members: membership::Reader,
    /// Tells when the other nodes are known.
    pub monitor: membership::Monitor,
    /// Where the shares are put.
    pub splits: routing::Splits,
    /// Where bad versions are put.
    pub withheld: routing::Withheld,
    /// Settings.
    pub settings: Settings,
}

/// Follows the orders of the store.
pub struct Canary<S, L, O> {
    shared: rc::Rc<Shared<S, L, O>>,
    follower: Follower<S>,
    incoming: kernel::Inbox<peer::Incoming>,
}

/// What the tasks of the service share.
pub(super) struct Shared<S, L, O> {
    pub(super) parts: Parts<S, L, O>,
    pub(super) recorder: Recorder,
    /// Number of this start of the node.
    pub(super) life: u64,
    /// Makes the follower of the orders read again.
    pub(super) nudge: platform::Nudge,
    /// When the orders were read first.
    pub(super) listed: cell::Cell<Option<time::Instant>>,
    /// When the other nodes were known first.
    joined: cell::Cell<Option<time::Instant>>,
}

impl<S: Store + Clone, L: peer::Link, O: Source> Canary<S, L, O> {
    /// Bounds of the wait after a failed call to the store.
    const RETRY_LEAST: time::Duration = time::Duration::from_millis(100);
    const RETRY_MOST: time::Duration = time::Duration::from_millis(800);

    /// A service that takes reports of other nodes from `incoming`.
    #[must_use]
    pub fn new(parts: Parts<S, L, O>, incoming: kernel::Inbox<peer::Incoming>) -> Self {
        let pace = Pace {
            wait: parts.settings.watch_wait.0,
            pause: time::Duration::ZERO,
            retry_least: Self::RETRY_LEAST,
            retry_most: Self::RETRY_MOST,
        };
        let (follower, nudge) = Follower::new(parts.store.clone(), pace);
        let shared = Shared {
            parts,
            recorder: Recorder::default(),
            life: rand::random(),
            nudge,
            listed: cell::Cell::new(None),
            joined: cell::Cell::new(None),
        };
        Self {
            shared: rc::Rc::new(shared),
            follower,
            incoming,
        }
    }

    /// Takes the samples of the request path.
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
                log::error!("a task of the moves panicked");
            }
        }
    }
}

impl<S: Store, L: peer::Link, O: Source> Shared<S, L, O> {
    /// Time after joining until the other nodes are in the view that requests are routed by.
    const VIEW_WAIT: time::Duration = time::Duration::from_millis(150);
    /// Longest wait for the other nodes once the orders are known.
    const JOIN_LIMIT: time::Duration = time::Duration::from_secs(2);

    async fn run_ticks(self: rc::Rc<Self>, stop: kernel::Stop) {
        let period = self.parts.settings.period.0;
        while stop.sleep(period).await {
            self.settle();
            let running: Vec<_> = {
                let trials = self.recorder.trials.borrow();
                let running = trials.iter().filter(|trial| !trial.order.phase.is_end());
                running.map(|trial| trial.order.service.clone()).collect()
            };
            for service in running {
                self.tick(&service);
            }
        }
    }

    /// Lets requests go to versions that are there, once the orders and the other nodes are known: a
    /// node that knows only the backend server beside it would take a version on trial for the one
    /// in use.
    fn settle(&self) {
        let Some(listed) = self.listed.get() else {
            return;
        };
        if self.parts.monitor.is_joined() && self.joined.get().is_none() {
            self.joined.set(Some(time::Instant::now()));
        }
        let joined = self.joined.get();
        let seen = joined.is_some_and(|joined| joined.elapsed() >= Self::VIEW_WAIT);
        if seen || listed.elapsed() >= Self::JOIN_LIMIT {
            self.parts.splits.set_moves_known();
        }
    }

    /// Runs `work` on the trial of `service`.
    pub(super) fn with<T>(&self, service: &str, work: impl FnOnce(&mut Trial) -> T) -> Option<T> {
        let mut trials = self.recorder.trials.borrow_mut();
        let place = Recorder::place(&trials, service).ok()?;
        Some(work(&mut trials[place]))
    }

    /// Brings the share up to date, tells the judges, and judges where this node is one.
    fn tick(self: &rc::Rc<Self>, service: &CompactString) {
        let judges = self.judges(service);
        let node = &self.parts.node;
        let rank = judges.iter().position(|judge| judge.node == *node);
        let Some((found, report)) = self.with(service, |trial| {
            let found = trial.judge();
            (found, trial.report(node, self.life))
        }) else {
            return;
        };
        if found {
            self.condemn(service);
        }
        self.share(service);
        for judge in judges.iter().filter(|judge| judge.node != *node) {
            let shared = self.clone();
            let (to, report) = (judge.peer_address, report.clone());
            compio::runtime::spawn(async move { shared.tell(to, report).await }).detach();
        }
        if let Some(rank) = rank {
            self.decide(service, rank);
        }
    }

    /// The members that judge the move of `service`, the first-ranked one first.
    fn judges(&self, service: &str) -> Vec<rc::Rc<membership::Member>> {
        let view = self.parts.members.get();
        let key = xxh3::xxh3_64(service.as_bytes());
        let mut ranked: Vec<_> = view.running().cloned().collect();
        ranked.sort_by_cached_key(|member| std::cmp::Reverse(routing::rank(&member.node, key)));
        ranked.truncate(self.parts.settings.judges);
        ranked
    }

    fn share(&self, service: &str) {
        let share = self.with(service, |trial| {
            let share = trial.schedule().share(trial.elapsed());
            let open = trial.bad.is_none() && !trial.order.phase.is_end();
            open.then(|| (trial.order.version.clone(), share))
        });
        if let Some(Some((version, share))) = share {
            let trial = routing::Trial { version, share };
            self.parts.splits.set_trial(service, Some(trial));
        }
    }
}
