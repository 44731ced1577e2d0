//! A backend server as this node sees it.

use std::cell;
use std::rc;
use std::time;

use compact_str::CompactString;
use membership::{Backend, Member};

use crate::remaining::Remaining;
use crate::turn::Turn;
use crate::{Baseline, Demand, Health, InFlightGuard, Policy, Report, Verdict};

/// A backend server as this node sees it, reached through its owner's mesh address.
#[derive(Debug)]
pub struct Endpoint {
    /// Node id of the owner.
    pub node: units::Node,
    /// Mesh address at which the owner accepts requests.
    pub address: units::Address,
    /// Service of the backend server.
    pub service: CompactString,
    /// Version of the backend server.
    pub version: CompactString,
    /// Number of requests that the backend server can run at a time.
    pub slots: u32,
    /// Number that identifies this start of the backend server.
    pub instance: u64,
    /// Data centre of the backend server.
    pub data_centre: units::DataCentre,
    /// Whether the backend server is in the data centre of this node.
    pub local: bool,
    /// Whether this node is the owner.
    pub own: bool,
    /// Time at which this node first saw the backend server ready.
    pub joined: time::Instant,
    /// Passive health, derived from the results of requests.
    pub health: cell::Cell<Health>,
    pub(crate) in_flight: cell::Cell<u32>,
    latency: cell::Cell<Latency>,
    load: cell::Cell<Option<Load>>,
    /// Smoothed ratio of the latency of answers to the usual latency of their routes.
    latency_ratio: cell::Cell<f64>,
    /// Work left there, as the owner reports it.
    pub(crate) remaining: cell::Cell<Remaining>,
    busy_until: cell::Cell<Option<time::Instant>>,
    leaving: cell::Cell<bool>,
    turn: cell::Cell<Option<Turn>>,
}

/// Moving average of the latency of answers that follows peaks at once.
#[derive(Debug, Clone, Copy)]
struct Latency {
    millis: f64,
    at: time::Instant,
}

/// Load that an owner has reported, as a fraction of its limit.
#[derive(Debug, Clone, Copy)]
struct Load {
    fraction: f64,
    /// Requests that this node had in flight there at the time of the report.
    in_flight: u32,
    at: time::Instant,
}

impl Endpoint {
    /// Smallest fraction of the full share that a new backend server gets.
    const SLOW_START_MIN: f64 = 0.1;
    /// Latency assumed before the first answer, in milliseconds.
    const LATENCY_MIN_MS: f64 = 0.2;

    /// Creates an endpoint for the backend server of `member`; returns `None` if it has none.
    #[must_use]
    pub fn new(
        member: &Member,
        node: &units::Node,
        data_centre: &units::DataCentre,
        now: time::Instant,
    ) -> Option<Self> {
        let backend = member.backend.as_ref()?;
        Some(Self {
            node: member.node.clone(),
            address: member.mesh_address,
            service: backend.service.clone(),
            version: backend.version.clone(),
            slots: backend.slots.max(1),
            instance: backend.instance,
            data_centre: member.data_centre.clone(),
            local: member.data_centre == *data_centre,
            own: member.node == *node,
            joined: now,
            health: cell::Cell::default(),
            in_flight: cell::Cell::new(0),
            latency: cell::Cell::new(Latency {
                millis: 0.0,
                at: now,
            }),
            load: cell::Cell::new(None),
            latency_ratio: cell::Cell::new(1.0),
            remaining: cell::Cell::default(),
            busy_until: cell::Cell::new(None),
            leaving: cell::Cell::new(false),
            turn: cell::Cell::new(None),
        })
    }

    /// Whether `member` and `backend` describe the same start of the same backend server at the same address.
    #[must_use]
    pub fn matches(&self, member: &Member, backend: &Backend) -> bool {
        self.address == member.mesh_address
            && self.data_centre == member.data_centre
            && self.instance == backend.instance
            && self.slots == backend.slots.max(1)
            && self.service == backend.service
            && self.version == backend.version
    }

    /// Returns the number of requests of this node in flight to the backend server.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Counts one request as in flight until the returned guard is dropped.
    #[must_use]
    pub fn count_in_flight(self: &rc::Rc<Self>) -> InFlightGuard {
        InFlightGuard::new(self.clone())
    }

    /// Records the latency of one answer.
    ///
    /// Peak EWMA as in Finagle: a higher latency counts at once, a lower one as the average decays.
    pub fn record_latency(&self, latency: time::Duration, now: time::Instant, policy: &Policy) {
        let sample = latency.as_secs_f64() * 1_000.0;
        let previous = self.latency.get();
        let millis = if sample > previous.millis {
            sample
        } else {
            let age = now.saturating_duration_since(previous.at).as_secs_f64();
            let kept = (-age / policy.latency_decay.0.as_secs_f64().max(0.001)).exp();
            previous.millis * kept + sample * (1.0 - kept)
        };
        self.latency.set(Latency { millis, at: now });
    }

    /// Records the load that the owner reports with an answer, as a fraction of its limit.
    pub fn record_load(&self, fraction: f64, now: time::Instant) {
        let in_flight = self.in_flight.get();
        self.load.set(Some(Load {
            fraction,
            in_flight,
            at: now,
        }));
    }

    /// Records what the owner reports about the work left with an answer of the route that `baseline`
    /// describes.
    pub fn record_work(&self, report: &Report, baseline: &Baseline, now: time::Instant) {
        let mut remaining = self.remaining.get();
        let load = self.load.get().map_or(0.0, |load| load.fraction);
        let free = f64::from(self.slots) * (1.0 - load).max(0.0);
        remaining.report(report, free, baseline, now);
        self.remaining.set(remaining);
    }

    /// Returns the typical runtimes there as a multiple of those of all backend servers of the service.
    #[must_use]
    pub fn pace(&self) -> f64 {
        self.remaining.get().pace()
    }

    /// Returns the expected time until a request of this `demand` starts, as a multiple of its typical
    /// runtime over all backend servers.
    #[must_use]
    pub fn runs_ahead(&self, demand: Demand, now: time::Instant) -> f64 {
        let work_ms = demand.work_ms.max(1.0);
        self.remaining.get().start_ms(work_ms, self.slots, now) / work_ms
    }

    /// Records that the owner has refused a request and asks for retries only after `wait`.
    pub fn record_refusal(&self, wait: time::Duration, now: time::Instant) {
        self.busy_until.set(Some(now + wait));
    }

    /// Marks the backend server as leaving, as an answer reported: it gets no new requests, whatever is
    /// announced about it.
    pub fn mark_leaving(&self) {
        self.leaving.set(true);
    }

    /// Whether an answer has reported that the backend server is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Records that the backend server limits requests per second and accepts the next one of this node
    /// after `wait`, or at the time reported before if that is sooner.
    pub fn set_turn(&self, wait: time::Duration, now: time::Instant) {
        let turn = Turn::reported(self.turn.get(), wait, now);
        self.turn.set(Some(turn));
    }

    /// Removes the rate limit; only the slots limit the backend server then.
    pub fn clear_turn(&self) {
        self.turn.set(None);
    }

    /// Uses the turn of this node for a request.
    pub fn use_turn(&self, now: time::Instant) {
        let next = self.turn.get().map(|turn| turn.next(now));
        self.turn.set(next);
    }

    /// Returns the time until the next turn of this node; zero without a rate limit.
    #[must_use]
    pub fn time_to_turn(&self, now: time::Instant) -> time::Duration {
        let remaining = self.turn.get().map(|turn| turn.remaining(now));
        remaining.unwrap_or_default()
    }

    /// Whether the backend server is usable and not ejected.
    #[must_use]
    pub fn is_available(&self, now: time::Instant) -> bool {
        self.is_usable(now) && self.health.get().verdict(now) != Verdict::Ejected
    }

    /// Whether a request may be sent there at all, even if the backend server is ejected.
    #[must_use]
    pub fn is_usable(&self, now: time::Instant) -> bool {
        !self.is_leaving() && self.time_to_turn(now).is_zero()
    }

    /// Whether the wait that the owner asked for with a refusal is not over.
    #[must_use]
    pub fn is_busy(&self, now: time::Instant) -> bool {
        self.busy_until.get().is_some_and(|until| now < until)
    }

    /// Returns the load as a fraction of the limit: the larger of the owner's recent report and
    /// this node's own requests.
    #[must_use]
    pub fn load(&self, now: time::Instant, policy: &Policy) -> f64 {
        let own_load = f64::from(self.in_flight.get()) / f64::from(self.slots);
        let recent = self
            .load
            .get()
            .filter(|load| now.saturating_duration_since(load.at) <= policy.load_lifetime.0);
        recent.map_or(own_load, |load| load.fraction.max(own_load))
    }

    /// Returns the load with one more request of this node, as a fraction of the limit: the owner's recent
    /// report plus what this node has sent since.
    #[must_use]
    pub fn expected_load(&self, now: time::Instant, policy: &Policy) -> f64 {
        let slots = f64::from(self.slots);
        let in_flight = f64::from(self.in_flight.get());
        let recent = self
            .load
            .get()
            .filter(|load| now.saturating_duration_since(load.at) <= policy.load_lifetime.0);
        let load = recent.map_or(in_flight / slots, |load| {
            load.fraction + (in_flight - f64::from(load.in_flight)) / slots
        });
        load.max(0.0) + 1.0 / slots
    }

    /// Records the ratio of the latency of one answer to the usual latency of its route.
    ///
    /// Answers of a full server are left out, as their latency shows the length of its queue, not its speed.
    pub fn record_latency_ratio(&self, ratio: f64, now: time::Instant, policy: &Policy) {
        const SMOOTHING: f64 = 0.1;
        const RATIO_MIN: f64 = 0.1;
        if self.load(now, policy) <= 1.0 {
            let previous = self.latency_ratio.get();
            self.latency_ratio
                .set((previous + (ratio - previous) * SMOOTHING).max(RATIO_MIN));
        }
    }

    /// Returns the smoothed ratio of the latency of answers to the usual latency of their routes.
    #[must_use]
    pub fn latency_ratio(&self) -> f64 {
        self.latency_ratio.get()
    }

    /// Returns the cost of one more request; the backend server with the lower cost is chosen.
    #[must_use]
    pub fn cost(&self, now: time::Instant, policy: &Policy) -> f64 {
        let latency = self.latency.get().millis.max(Self::LATENCY_MIN_MS);
        let requests = f64::from(self.in_flight.get()) + 1.0;
        let load_factor = 1.0 + self.load(now, policy).powi(2);
        let capacity = f64::from(self.slots) * self.slow_start_factor(now, policy);
        latency * requests * load_factor / capacity
    }

    /// Returns the fraction of its share that the backend server gets: it grows from a tenth to the whole
    /// over the slow start.
    #[must_use]
    pub fn slow_start_factor(&self, now: time::Instant, policy: &Policy) -> f64 {
        let age = now.saturating_duration_since(self.joined).as_secs_f64();
        let fraction = age / policy.slow_start.0.as_secs_f64().max(0.001);
        fraction.clamp(Self::SLOW_START_MIN, 1.0)
    }

    /// Returns the smoothed latency of answers, in milliseconds.
    #[must_use]
    pub fn latency_ms(&self) -> f64 {
        self.latency.get().millis
    }
}
