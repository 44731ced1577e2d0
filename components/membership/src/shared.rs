//! State shared by the tasks of the membership service.

use std::cell;
use std::rc;
use std::time;

use futures_channel::oneshot;
use rand::Rng;
use schema::membership as wire;
use wire::request::Kind;

use crate::counts::Counter;
use crate::scope::Scope;
use crate::table::{Outcome, Propagation};
use crate::{Health, Identity, MassFailure, Outages, Reader, Settings, Suspicion, Table, Update};

/// Name under which the service receives requests from other nodes.
pub(crate) const SERVICE: &str = "membership";

/// State shared by the tasks of the membership service.
pub(crate) struct Shared<S, L> {
    pub(crate) identity: Identity,
    pub(crate) seeds: Vec<units::Address>,
    /// Addresses from the seed objects at the time this node joined.
    pub(crate) seed_object_addresses: cell::RefCell<Vec<units::Address>>,
    pub(crate) settings: Settings,
    pub(crate) store: S,
    pub(crate) link: L,
    pub(crate) reader: Reader,
    pub(crate) table: rc::Rc<cell::RefCell<Table>>,
    pub(crate) scope: cell::RefCell<rc::Rc<Scope>>,
    pub(crate) counter: Counter,
    pub(crate) health: rc::Rc<cell::Cell<Health>>,
    /// Time at which this node joined; `None` before.
    pub(crate) joined_at: rc::Rc<cell::Cell<Option<time::Instant>>>,
    pub(crate) suspicion: Suspicion,
    pub(crate) mass_failure: MassFailure,
    /// Time before which this node raises no suspicions.
    pub(crate) grace_until: cell::Cell<time::Instant>,
    /// Time at which the lease of the local backend server expires.
    pub(crate) lease_end: cell::Cell<Option<time::Instant>>,
    /// Whether the local backend server gets no new requests, regardless of its announcements.
    pub(crate) draining: cell::Cell<bool>,
    pub(crate) drains: cell::RefCell<Vec<Drain>>,
    /// Joining nodes being served, with the time of their last page.
    pub(crate) joiners: cell::RefCell<Vec<(units::Node, time::Instant)>>,
    /// Probes in progress on behalf of other nodes.
    pub(crate) assisted_probes: cell::Cell<usize>,
    /// Gossip messages without an answer yet.
    pub(crate) gossip_in_flight: cell::Cell<usize>,
    pub(crate) outages: cell::RefCell<Outages>,
    pub(crate) last_published: cell::Cell<time::Instant>,
}

/// Request waiting until the update about the drain has been passed on.
pub(crate) struct Drain {
    pub(crate) since: time::Instant,
    pub(crate) done: oneshot::Sender<()>,
}

impl<S: platform::Store, L: peer::Link> Shared<S, L> {
    /// The scope of the last published view.
    pub(crate) fn scope(&self) -> rc::Rc<Scope> {
        self.scope.borrow().clone()
    }

    /// Sends a request to the membership service at `to`.
    pub(crate) async fn request<R: prost::Message + Default>(
        &self,
        to: units::Address,
        kind: Kind,
        timeout: time::Duration,
    ) -> Result<R, peer::Error> {
        let request = wire::Request { kind: Some(kind) };
        let payload = prost::Message::encode_to_vec(&request);
        let answer = self.link.call(to, SERVICE, payload, timeout).await?;
        R::decode(answer.as_slice()).map_err(|_| peer::Error::Invalid)
    }

    /// Applies updates from a message; returns this node's records where they are newer.
    pub(crate) fn apply_updates(
        &self,
        updates: &[wire::Update],
        propagation: Propagation,
    ) -> Vec<Update> {
        let now = time::Instant::now();
        let mut table = self.table.borrow_mut();
        let mut newer = Vec::new();
        for update in updates {
            let Some(update) = Update::decode(update) else {
                self.counter.update(|counts| counts.malformed += 1);
                continue;
            };
            let node = update.member.node.clone();
            let outcome = table.learn(update, propagation, now);
            match outcome {
                Outcome::Applied => self.counter.update(|counts| counts.news += 1),
                Outcome::Refuted => self.counter.update(|counts| counts.refutations += 1),
                _ => self.counter.update(|counts| counts.known += 1),
            }
            if matches!(outcome, Outcome::Stale | Outcome::Refuted) {
                let record = table.record(&node);
                newer.extend(record.map(|record| Update::of(record.member.clone())));
            }
        }
        newer
    }

    /// Updates for one message of up to `limit`.
    pub(crate) fn next_updates(&self, limit: units::Size) -> Vec<wire::Update> {
        let members = self.scope.borrow().size();
        let mut table = self.table.borrow_mut();
        let transmissions = crate::Rumors::transmissions(members);
        table.rumors().take(limit.as_len(), transmissions)
    }

    /// Records whether this node reached a member of another data centre.
    pub(crate) fn record_reachability(&self, centre: &units::DataCentre, reached: bool) {
        let now = time::Instant::now();
        let lifetime = self.outage_lifetime();
        let mut outages = self.outages.borrow_mut();
        outages.record_attempt(centre, reached, lifetime, now);
    }

    /// Merges outages reported by another node, except for the own data centre, whose outage is impossible.
    pub(crate) fn merge_outages(&self, reported: &[wire::Outage]) {
        let own = self.identity.data_centre.as_str();
        let reported: Vec<_> = reported
            .iter()
            .filter(|outage| outage.centre != own)
            .cloned()
            .collect();
        let lifetime = self.outage_lifetime();
        let mut outages = self.outages.borrow_mut();
        outages.merge(&reported, lifetime, time::Instant::now());
    }

    /// Outages to pass on to `to`; empty if `to` belongs to another data centre.
    pub(crate) fn outages_for(&self, to: &units::Node) -> Vec<wire::Outage> {
        let table = self.table.borrow();
        let near = table
            .record(to)
            .is_some_and(|record| record.member.data_centre == self.identity.data_centre);
        if near {
            self.outages.borrow().encode(time::Instant::now())
        } else {
            Vec::new()
        }
    }

    /// Time after the last failed attempt when an outage expires; covers several attempts.
    fn outage_lifetime(&self) -> time::Duration {
        (self.settings.bridge_period.0 + Self::COMPARE_TIMEOUT) * 4
    }

    /// Timeout of a probe, scaled by this node's own health.
    pub(crate) fn probe_timeout(&self) -> time::Duration {
        let timeout = self.settings.probe_timeout.0 * self.health.get().factor();
        timeout.min(self.settings.probe_period.0)
    }

    pub(crate) fn worsen_health(&self) {
        let mut health = self.health.get();
        health.worsen();
        self.health.set(health);
    }

    pub(crate) fn improve_health(&self) {
        let mut health = self.health.get();
        health.improve();
        self.health.set(health);
    }
}

/// A random time between 0.5 and 1.5 times `period`, so that nodes do not act at the same time.
pub(crate) fn jitter(period: time::Duration) -> time::Duration {
    period.mul_f64(rand::rng().random_range(0.5..1.5))
}
