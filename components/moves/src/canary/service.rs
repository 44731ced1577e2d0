//! The service that follows orders.

use std::cell;
use std::rc;
use std::time;

use compact_str::CompactString;
use platform::{Backoff, Error, Event, Object, Revision, Store};
use prost::Message;
use schema::moves as wire;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use super::trial::{Trial, millis};
use super::{Order, Phase, Recorder, Source};

/// Name under which nodes exchange reports.
pub const NAME: &str = "canary";

units::record! {
    /// Settings of short moves.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields, default)]
    pub struct Settings {
        /// Longest time that one watch of the orders waits.
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
            watch_wait: units::Period::from_secs(4),
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
    incoming: kernel::Inbox<peer::Incoming>,
}

struct Shared<S, L, O> {
    parts: Parts<S, L, O>,
    recorder: Recorder,
    /// Number of this start of the node.
    life: u64,
    /// Since when the orders cannot be watched.
    lost: cell::Cell<Option<time::Instant>>,
    /// When the orders were read first.
    listed: cell::Cell<Option<time::Instant>>,
    /// When the other nodes were known first.
    joined: cell::Cell<Option<time::Instant>>,
}

impl<S: Store, L: peer::Link, O: Source> Canary<S, L, O> {
    /// A service that takes reports of other nodes from `incoming`.
    #[must_use]
    pub fn new(parts: Parts<S, L, O>, incoming: kernel::Inbox<peer::Incoming>) -> Self {
        let shared = Shared {
            parts,
            recorder: Recorder::default(),
            life: rand::random(),
            lost: cell::Cell::new(None),
            listed: cell::Cell::new(None),
            joined: cell::Cell::new(None),
        };
        Self {
            shared: rc::Rc::new(shared),
            incoming,
        }
    }

    /// Takes the samples of the request path.
    #[must_use]
    pub fn recorder(&self) -> Recorder {
        self.shared.recorder.clone()
    }
}

impl<S: Store, L: peer::Link, O: Source> kernel::Service for Canary<S, L, O> {
    const NAME: &'static str = NAME;

    async fn run(self, stop: kernel::Stop) {
        let shared = self.shared;
        let watching = compio::runtime::spawn(shared.clone().run_watch(stop.clone()));
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
    /// Bounds of the wait after a failed call to the store.
    const RETRY_LEAST: time::Duration = time::Duration::from_millis(100);
    const RETRY_MOST: time::Duration = time::Duration::from_millis(800);
    /// Time within which a judge answers a report.
    const ANSWER_LIMIT: time::Duration = time::Duration::from_millis(500);
    /// Time after joining until the other nodes are in the view that requests are routed by.
    const VIEW_WAIT: time::Duration = time::Duration::from_millis(400);
    /// Longest wait for the other nodes once the orders are known.
    const JOIN_LIMIT: time::Duration = time::Duration::from_secs(2);
    /// Nodes that are told of a bad version at a time.
    const TELL_AT_ONCE: usize = 32;

    async fn run_watch(self: rc::Rc<Self>, stop: kernel::Stop) {
        let mut backoff = Backoff::new(Self::RETRY_LEAST, Self::RETRY_MOST);
        while let Some(ended) = stop.guard(self.follow(&mut backoff)).await {
            if let Err(error) = ended
                && error != Error::Gone
                && self.lost.get().is_none()
            {
                self.lost.set(Some(time::Instant::now()));
                log::warn!(event = "store-lost", reader = NAME, error:% = error; "the orders cannot be watched");
            }
            if !stop.sleep(backoff.next_wait(&mut rand::rng())).await {
                return;
            }
        }
    }

    /// Reads the orders, then watches them until a call fails.
    async fn follow(&self, backoff: &mut Backoff) -> Result<(), Error> {
        let listing = self.parts.store.list(O::PREFIX).await?;
        for object in &listing.objects {
            self.take_object(object);
        }
        if self.listed.get().is_none() {
            self.listed.set(Some(time::Instant::now()));
        }
        backoff.reset();
        if let Some(lost) = self.lost.take() {
            log::info!(event = "store-regained", reader = NAME, gone_ms = millis(lost.elapsed()); "the orders are watched again");
        }
        let mut from = listing.revision;
        loop {
            let wait = self.parts.settings.watch_wait.0;
            let events = self.parts.store.watch(O::PREFIX, from, wait).await?;
            from = events.revision.max(from);
            for event in &events.events {
                if let Event::Put(object) = event {
                    self.take_object(object);
                }
            }
        }
    }

    fn take_object(&self, object: &Object) {
        let Some(order) = self.parts.source.order(&object.value) else {
            log::warn!(key:% = object.key; "an order that cannot be read is left out");
            return;
        };
        let mut trials = self.recorder.trials.borrow_mut();
        match Recorder::place(&trials, &order.service) {
            Ok(place) if trials[place].order.is_same(&order) => {
                let trial = &mut trials[place];
                if object.revision <= trial.revision {
                    return;
                }
                trial.revision = object.revision;
                let ended = !trial.order.phase.is_end() && order.phase.is_end();
                trial.order.phase = order.phase;
                if ended {
                    self.apply_end(&trial.order);
                }
            }
            Ok(place) if trials[place].revision >= object.revision => {}
            place => {
                log::info!(service = order.service.as_str(), version = order.version.as_str(),
                    phase:? = order.phase; "move ordered");
                self.begin(&order);
                let trial = Trial::new(order, object.key.clone(), object.revision);
                match place {
                    Ok(place) => trials[place] = trial,
                    Err(place) => trials.insert(place, trial),
                }
            }
        }
    }

    fn begin(&self, order: &Order) {
        if order.phase.is_end() {
            return self.apply_end(order);
        }
        self.parts.withheld.remove(&order.service, &order.version);
        let trial = routing::Trial {
            version: order.version.clone(),
            share: 0.0,
        };
        self.parts.splits.set_trial(&order.service, Some(trial));
    }

    /// Puts the end that the store names in force.
    fn apply_end(&self, order: &Order) {
        log::info!(service = order.service.as_str(), version = order.version.as_str(),
            phase:? = order.phase; "move ended");
        if order.phase == Phase::Done {
            self.parts.withheld.remove(&order.service, &order.version);
            self.parts.splits.establish(&order.service, &order.version);
        } else {
            self.withhold(order);
        }
    }

    fn withhold(&self, order: &Order) {
        self.parts.withheld.add(&order.service, &order.version);
        self.parts.splits.set_trial(&order.service, None);
    }

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
            self.parts.splits.set_known();
        }
    }

    /// Runs `work` on the trial of `service`.
    fn with<T>(&self, service: &str, work: impl FnOnce(&mut Trial) -> T) -> Option<T> {
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

    /// The version that a move of `service` brings in is bad: withholds it here and tells the others.
    fn condemn(self: &rc::Rc<Self>, service: &CompactString) {
        let node = &self.parts.node;
        let told = self.with(service, |trial| {
            (trial.order.clone(), trial.report(node, self.life))
        });
        let Some((order, report)) = told else {
            return;
        };
        log::warn!(service = order.service.as_str(), version = order.version.as_str(),
            reason = report.bad.as_str(); "version is bad");
        self.withhold(&order);
        let view = self.parts.members.get();
        let others = view.running().filter(|member| member.node != *node);
        let others: Vec<_> = others.map(|member| member.peer_address).collect();
        for part in others.chunks(Self::TELL_AT_ONCE) {
            let (shared, part, report) = (self.clone(), part.to_vec(), report.clone());
            compio::runtime::spawn(async move {
                for to in part {
                    shared.tell(to, report.clone()).await;
                }
            })
            .detach();
        }
    }

    /// Sends a report and takes its answer.
    async fn tell(self: &rc::Rc<Self>, to: units::Address, report: wire::CanaryReport) {
        let service = CompactString::from(report.service.as_str());
        let version = CompactString::from(report.version.as_str());
        let payload = report.encode_to_vec();
        let called = self
            .parts
            .link
            .call(to, NAME, payload, Self::ANSWER_LIMIT)
            .await;
        let answer = called.map(|answer| wire::CanaryAnswer::decode(answer.as_slice()));
        match answer {
            Ok(Ok(answer)) => self.hear(&service, &version, answer.elapsed_ms, &answer.bad),
            Ok(Err(_)) => log::warn!(to:% = to; "an answer to a report cannot be read"),
            Err(error) => log::debug!(to:% = to, error:% = error; "a report has no answer"),
        }
    }

    /// Takes what another node knows of the move.
    fn hear(self: &rc::Rc<Self>, service: &CompactString, version: &str, elapsed: u64, bad: &str) {
        let found = self.with(service, |trial| {
            if trial.order.version != version || trial.order.phase.is_end() {
                return false;
            }
            trial.hear(time::Duration::from_millis(elapsed));
            let found = trial.bad.is_none() && !bad.is_empty();
            if found {
                trial.bad = Some(bad.into());
            }
            found
        });
        if found == Some(true) {
            self.condemn(service);
        }
    }

    fn serve(self: &rc::Rc<Self>, request: peer::Incoming) {
        let Ok(report) = wire::CanaryReport::decode(request.payload.as_slice()) else {
            return request.answer.invalid();
        };
        let service = CompactString::from(report.service.as_str());
        self.hear(&service, &report.version, report.elapsed_ms, &report.bad);
        let answer = self.with(&service, |trial| {
            if trial.order.version == report.version {
                trial.take(&report);
            }
            trial.answer()
        });
        request
            .answer
            .send(answer.unwrap_or_default().encode_to_vec());
    }

    /// Writes where the move stands, if this node is to: the first judge at once, the others after
    /// those before them had time to.
    fn decide(self: &rc::Rc<Self>, service: &CompactString, rank: usize) {
        let ready = self.has_backend(service);
        let now = time::Instant::now();
        // Three at most.
        #[allow(clippy::cast_possible_truncation)]
        let patience = self.parts.settings.write_after.0 * rank as u32;
        let write = self.with(service, |trial| {
            let phase = match trial.end(ready) {
                Some(end) => end,
                None if trial.order.phase == Phase::Ordered => Phase::Running,
                None => {
                    trial.decided = None;
                    return None;
                }
            };
            let decided = *trial.decided.get_or_insert(now);
            let due = now.saturating_duration_since(decided) >= patience;
            due.then(|| {
                // Another write is due only when this one has had its time.
                trial.decided = Some(now + self.parts.settings.write_after.0);
                (
                    trial.key.clone(),
                    trial.revision,
                    trial.order.clone(),
                    phase,
                )
            })
        });
        if let Some(Some((key, revision, order, phase))) = write {
            let shared = self.clone();
            compio::runtime::spawn(async move {
                shared.write(key, revision, order, phase).await;
            })
            .detach();
        }
    }

    async fn write(&self, key: platform::Key, revision: Revision, order: Order, phase: Phase) {
        let status = self.parts.source.status(&order, phase);
        match self.parts.store.update(&key, revision, status).await {
            Ok(written) => {
                let order = Order { phase, ..order };
                self.with(&order.service, |trial| {
                    if trial.order.is_same(&order) && written > trial.revision {
                        trial.revision = written;
                        trial.order.phase = phase;
                        trial.decided = None;
                    }
                });
                if phase.is_end() {
                    self.apply_end(&order);
                }
            }
            Err(error) => {
                log::warn!(service = order.service.as_str(), phase:? = phase, error:% = error;
                    "the state of a move was not written");
            }
        }
    }

    /// Whether the new version of `service` has a ready backend server.
    fn has_backend(&self, service: &str) -> bool {
        let view = self.parts.members.get();
        let version = self.with(service, |trial| trial.order.version.clone());
        let Some(version) = version else {
            return false;
        };
        view.running().any(|member| {
            let backend = member.backend.as_ref();
            backend.is_some_and(|backend| {
                backend.service == service
                    && backend.version == version
                    && backend.phase == membership::Phase::Ready
            })
        })
    }
}
