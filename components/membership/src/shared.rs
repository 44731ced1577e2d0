//! What the tasks of the membership service share.

use std::cell;
use std::rc;
use std::time;

use futures_channel::oneshot;
use rand::Rng;
use schema::membership as wire;
use wire::request::Kind;

use crate::counts::Counter;
use crate::scope::Scope;
use crate::table::{Outcome, Way};
use crate::{Health, Herd, Identity, Outages, Reader, Settings, Suspicion, Table, Update};

/// Name under which the service takes requests of other nodes.
pub(crate) const SERVICE: &str = "membership";

/// What the tasks of the membership service share.
pub(crate) struct Shared<S, L> {
    pub(crate) identity: Identity,
    pub(crate) seeds: Vec<units::Address>,
    /// Addresses in the seed objects when this node joined.
    pub(crate) found: cell::RefCell<Vec<units::Address>>,
    pub(crate) settings: Settings,
    pub(crate) store: S,
    pub(crate) link: L,
    pub(crate) reader: Reader,
    pub(crate) table: rc::Rc<cell::RefCell<Table>>,
    pub(crate) scope: cell::RefCell<rc::Rc<Scope>>,
    pub(crate) counter: Counter,
    pub(crate) health: rc::Rc<cell::Cell<Health>>,
    /// When this node joined; `None` while it has to.
    pub(crate) joined: rc::Rc<cell::Cell<Option<time::Instant>>>,
    pub(crate) suspicion: Suspicion,
    pub(crate) herd: Herd,
    /// No accusations before this time.
    pub(crate) grace: cell::Cell<time::Instant>,
    /// When the backend server beside this node has to have announced itself again.
    pub(crate) lease: cell::Cell<Option<time::Instant>>,
    /// The backend server beside this node gets no new requests, whatever it announces.
    pub(crate) draining: cell::Cell<bool>,
    pub(crate) drains: cell::RefCell<Vec<Drain>>,
    /// Joining nodes that are being served, with the time of their last page.
    pub(crate) joiners: cell::RefCell<Vec<(units::Node, time::Instant)>>,
    /// Probes that are running for other nodes.
    pub(crate) assisting: cell::Cell<usize>,
    /// Gossip messages that have no answer yet.
    pub(crate) gossiping: cell::Cell<usize>,
    pub(crate) outages: cell::RefCell<Outages>,
    pub(crate) published: cell::Cell<time::Instant>,
}

/// Somebody who waits until the news of the drain was passed on.
pub(crate) struct Drain {
    pub(crate) since: time::Instant,
    pub(crate) done: oneshot::Sender<()>,
}

impl<S: platform::Store, L: peer::Link> Shared<S, L> {
    /// The scope at the last view.
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

    /// Takes in news from a message; returns the records of this node that are newer.
    pub(crate) fn learn(&self, updates: &[wire::Update], way: Way) -> Vec<Update> {
        let now = time::Instant::now();
        let mut table = self.table.borrow_mut();
        let mut newer = Vec::new();
        for update in updates {
            let Some(update) = Update::decode(update) else {
                self.counter.add(|counts| counts.malformed += 1);
                continue;
            };
            let node = update.member.node.clone();
            let outcome = table.learn(update, way, now);
            match outcome {
                Outcome::News => self.counter.add(|counts| counts.news += 1),
                Outcome::Refuted => self.counter.add(|counts| counts.refutations += 1),
                _ => self.counter.add(|counts| counts.known += 1),
            }
            if matches!(outcome, Outcome::Older | Outcome::Refuted) {
                let record = table.record(&node);
                newer.extend(record.map(|record| Update::of(record.member.clone())));
            }
        }
        newer
    }

    /// News for one message of up to `limit`.
    pub(crate) fn take_news(&self, limit: units::Size) -> Vec<wire::Update> {
        let members = self.scope.borrow().members();
        let mut table = self.table.borrow_mut();
        let transmissions = crate::Rumors::transmissions(members);
        table.rumors().take(limit.as_len(), transmissions)
    }

    /// Notes whether the members of another data centre can be reached from this node.
    pub(crate) fn note_reach(&self, centre: &units::DataCentre, reached: bool) {
        let now = time::Instant::now();
        let lifetime = self.outage_lifetime();
        let mut outages = self.outages.borrow_mut();
        outages.note(centre, reached, lifetime, now);
    }

    /// Takes in outages that another node told; those of the own data centre are nonsense.
    pub(crate) fn learn_outages(&self, told: &[wire::Outage]) {
        let own = self.identity.data_centre.as_str();
        let told: Vec<_> = told
            .iter()
            .filter(|one| one.centre != own)
            .cloned()
            .collect();
        let lifetime = self.outage_lifetime();
        let mut outages = self.outages.borrow_mut();
        outages.learn(&told, lifetime, time::Instant::now());
    }

    /// Outages to pass on to `to`, which must be of the same data centre.
    pub(crate) fn tell_outages(&self, to: &units::Node) -> Vec<wire::Outage> {
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

    /// Time for which an outage is believed after the last failed attempt: several attempts.
    fn outage_lifetime(&self) -> time::Duration {
        (self.settings.bridge_period.0 + Self::COMPARE_TIMEOUT) * 4
    }

    /// Time that a probe may take, by this node's own health.
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

/// A random time between half of `period` and one and a half of it, so that nodes do not act together.
pub(crate) fn jitter(period: time::Duration) -> time::Duration {
    period.mul_f64(rand::rng().random_range(0.5..1.5))
}
