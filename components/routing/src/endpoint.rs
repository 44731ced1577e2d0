//! A backend server as this node sees it.

use std::cell;
use std::rc;
use std::time;

use compact_str::CompactString;
use membership::{Backend, Member};

use crate::turn::Turn;
use crate::{Flight, Health, Policy, Verdict};

/// A backend server as this node sees it, reached through its owner's mesh address.
#[derive(Debug)]
pub struct Endpoint {
    /// The owner.
    pub node: units::Node,
    /// Where the owner takes requests.
    pub address: units::Address,
    /// Service of the backend server.
    pub service: CompactString,
    /// Version of the backend server.
    pub version: CompactString,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Number of its start.
    pub instance: u64,
    /// Its data centre.
    pub data_centre: units::DataCentre,
    /// Whether it is in the data centre of this node.
    pub local: bool,
    /// Whether it is beside this node.
    pub own: bool,
    /// When this node first saw it ready.
    pub joined: time::Instant,
    /// What its results say.
    pub health: cell::Cell<Health>,
    pub(crate) in_flight: cell::Cell<u32>,
    latency: cell::Cell<Latency>,
    load: cell::Cell<Option<Load>>,
    /// Latency of its answers as a multiple of what is usual on their routes.
    slowness: cell::Cell<f64>,
    busy_until: cell::Cell<Option<time::Instant>>,
    leaving: cell::Cell<bool>,
    turn: cell::Cell<Option<Turn>>,
}

/// Latency of answers, as a moving average that follows peaks at once.
#[derive(Debug, Clone, Copy)]
struct Latency {
    millis: f64,
    at: time::Instant,
}

/// Load that an owner has reported, as a part of its limit.
#[derive(Debug, Clone, Copy)]
struct Load {
    part: f64,
    /// Requests that this node had on it then.
    in_flight: u32,
    at: time::Instant,
}

impl Endpoint {
    /// Least part of its share that a new backend server gets.
    const WARM_MIN: f64 = 0.1;
    /// Latency that is assumed before the first answer, in milliseconds.
    const LATENCY_MIN_MS: f64 = 0.2;

    /// The backend server of `member`; `None` when it has none.
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
            slowness: cell::Cell::new(1.0),
            busy_until: cell::Cell::new(None),
            leaving: cell::Cell::new(false),
            turn: cell::Cell::new(None),
        })
    }

    /// Whether it is the same start of the same backend server at the same address.
    #[must_use]
    pub fn is(&self, member: &Member, backend: &Backend) -> bool {
        self.address == member.mesh_address
            && self.data_centre == member.data_centre
            && self.instance == backend.instance
            && self.slots == backend.slots.max(1)
            && self.service == backend.service
            && self.version == backend.version
    }

    /// Requests that this node has on it.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Counts one request until the flight is dropped.
    #[must_use]
    pub fn start(self: &rc::Rc<Self>) -> Flight {
        Flight::new(self.clone())
    }

    /// Takes the latency of one answer.
    ///
    /// Peak EWMA as in Finagle: a higher latency counts at once, a lower one after decay.
    pub fn observe(&self, latency: time::Duration, now: time::Instant, policy: &Policy) {
        let sample = latency.as_secs_f64() * 1_000.0;
        let held = self.latency.get();
        let millis = if sample > held.millis {
            sample
        } else {
            let age = now.saturating_duration_since(held.at).as_secs_f64();
            let kept = (-age / policy.latency_decay.0.as_secs_f64().max(0.001)).exp();
            held.millis * kept + sample * (1.0 - kept)
        };
        self.latency.set(Latency { millis, at: now });
    }

    /// Takes the load that the owner reports with an answer.
    pub fn report(&self, part: f64, now: time::Instant) {
        let in_flight = self.in_flight.get();
        self.load.set(Some(Load {
            part,
            in_flight,
            at: now,
        }));
    }

    /// The owner has refused a request and asks to come back after `wait`.
    pub fn refuse(&self, wait: time::Duration, now: time::Instant) {
        self.busy_until.set(Some(now + wait));
    }

    /// It has said in an answer that it leaves: it gets nothing new, whatever is announced of it.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// Whether it has said in an answer that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// It takes only so many requests a second, and the next one of this node after `wait`, or when it
    /// was told before where that is sooner.
    pub fn limit(&self, wait: time::Duration, now: time::Instant) {
        let turn = Turn::told(self.turn.get(), wait, now);
        self.turn.set(Some(turn));
    }

    /// It takes what its slots run.
    pub fn lift(&self) {
        self.turn.set(None);
    }

    /// A request uses the turn of this node.
    pub fn use_turn(&self, now: time::Instant) {
        let next = self.turn.get().map(|turn| turn.next(now));
        self.turn.set(next);
    }

    /// Time until this node's next request is welcome.
    #[must_use]
    pub fn wait(&self, now: time::Instant) -> time::Duration {
        let left = self.turn.get().map(|turn| turn.left(now));
        left.unwrap_or_default()
    }

    /// Whether a request sent there now is welcome and has a chance.
    #[must_use]
    pub fn is_open(&self, now: time::Instant) -> bool {
        self.is_usable(now) && self.health.get().verdict(now) != Verdict::Ejected
    }

    /// Whether a request may be sent there at all, be it ejected.
    #[must_use]
    pub fn is_usable(&self, now: time::Instant) -> bool {
        !self.is_leaving() && self.wait(now).is_zero()
    }

    /// Whether the owner asked to come back later than now.
    #[must_use]
    pub fn is_busy(&self, now: time::Instant) -> bool {
        self.busy_until.get().is_some_and(|until| now < until)
    }

    /// Load as a part of its limit: the owner's fresh report, or what this node alone has on it.
    #[must_use]
    pub fn load(&self, now: time::Instant, policy: &Policy) -> f64 {
        let own = f64::from(self.in_flight.get()) / f64::from(self.slots);
        let fresh = self
            .load
            .get()
            .filter(|load| now.saturating_duration_since(load.at) <= policy.load_lifetime.0);
        fresh.map_or(own, |load| load.part.max(own))
    }

    /// Load with one more request of this node, as a part of its limit: the owner's fresh report, and
    /// what this node has sent since.
    #[must_use]
    pub fn expected_load(&self, now: time::Instant, policy: &Policy) -> f64 {
        let slots = f64::from(self.slots);
        let own = f64::from(self.in_flight.get());
        let fresh = self
            .load
            .get()
            .filter(|load| now.saturating_duration_since(load.at) <= policy.load_lifetime.0);
        let load = fresh.map_or(own / slots, |load| {
            load.part + (own - f64::from(load.in_flight)) / slots
        });
        load.max(0.0) + 1.0 / slots
    }

    /// Takes the latency of one answer as a multiple of what is usual on its route.
    ///
    /// Answers of a full server say how long its queue is, not how fast it is.
    pub fn compare(&self, ratio: f64, now: time::Instant, policy: &Policy) {
        const PART: f64 = 0.1;
        const LEAST: f64 = 0.1;
        if self.load(now, policy) <= 1.0 {
            let held = self.slowness.get();
            self.slowness.set((held + (ratio - held) * PART).max(LEAST));
        }
    }

    /// Latency of its answers as a multiple of what is usual on their routes.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        self.slowness.get()
    }

    /// Cost of one more request here; the lower one of two is chosen.
    #[must_use]
    pub fn cost(&self, now: time::Instant, policy: &Policy) -> f64 {
        let latency = self.latency.get().millis.max(Self::LATENCY_MIN_MS);
        let waiting = f64::from(self.in_flight.get()) + 1.0;
        let crowding = 1.0 + self.load(now, policy).powi(2);
        let share = f64::from(self.slots) * self.warmth(now, policy);
        latency * waiting * crowding / share
    }

    /// Part of its share that it gets: grows from a tenth to the whole over the slow start.
    #[must_use]
    pub fn warmth(&self, now: time::Instant, policy: &Policy) -> f64 {
        let age = now.saturating_duration_since(self.joined).as_secs_f64();
        let part = age / policy.slow_start.0.as_secs_f64().max(0.001);
        part.clamp(Self::WARM_MIN, 1.0)
    }

    /// Smoothed latency of its answers, in milliseconds.
    #[must_use]
    pub fn latency_ms(&self) -> f64 {
        self.latency.get().millis
    }
}
