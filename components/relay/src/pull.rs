//! Pulls of newer changes from other nodes.

use std::pin;
use std::rc;
use std::time;

use futures_channel::oneshot;
use futures_util::future::{self, Either};
use membership::Member;
use platform::Store;
use prost::Message;
use rand::seq::IndexedRandom;
use schema::relay as wire;

use crate::shared::Shared;
use crate::{Evidence, encoding};

impl<S: Store, L: peer::Link> Shared<S, L> {
    /// First interval between two pulls of a starting node.
    const FIRST_WAIT: time::Duration = time::Duration::from_millis(25);

    /// Number of pulls that may run at the same time, without those that are overdue.
    const PULLS: usize = 3;

    /// Number of pulls that may run at the same time.
    const ALL_PULLS: usize = 8;

    /// Pulls from random nodes while the state of this node is stale, or a full feed is missing.
    pub(crate) async fn run_pulls(self: rc::Rc<Self>, stop: kernel::Stop) {
        let mut wait = Self::FIRST_WAIT;
        while stop.sleep(wait).await {
            wait = (wait * 2).min(self.intervals.answer_timeout);
            let now = time::Instant::now();
            let is_stale = self.freshness.borrow().is_stale(now, &self.intervals);
            if is_stale || !self.is_loaded() || self.needs_full_pull() {
                self.start_pull_from_any();
            }
        }
    }

    /// Whether the next pull asks for the full feeds: the base of a delta is missing, or a node that has
    /// kept what the store has lost is still looked for.
    fn needs_full_pull(&self) -> bool {
        let age = self.origin.age(time::Instant::now());
        self.lacks_base.get() || (!self.has_kept() && age < self.intervals.kept_search)
    }

    /// Whether the state of this node contains what the store may have lost.
    fn has_kept(&self) -> bool {
        self.origin.is_before(self.parts.store.era())
    }

    /// Whether what the store may have lost is here, or no other node has shown it in time.
    pub(crate) fn is_kept_or_unknown(&self) -> bool {
        self.has_kept() || self.origin.age(time::Instant::now()) >= self.intervals.stale_after
    }

    fn start_pull_from_any(self: &rc::Rc<Self>) {
        if let Some(member) = self.others().choose(&mut rand::rng()) {
            self.start_pull(member.peer_address);
        }
    }

    /// Pulls from the first-ranked node of the data centre and, if that does not answer soon, from a
    /// random node as well.
    ///
    /// Returns whether a feed changed.
    pub(crate) async fn pull_changes(self: &rc::Rc<Self>) -> bool {
        let ranks = self.ranks();
        let mut first = ranks.first(&self.parts.data_centre, 1);
        let first = first.find(|member| member.node != self.parts.node);
        let any = self.others().choose(&mut rand::rng()).cloned();
        let first = self.pull_from(first);
        let any = async {
            compio::time::sleep(self.intervals.answer_timeout).await;
            self.pull_from(any.as_ref()).await
        };
        match future::select(pin::pin!(first), pin::pin!(any)).await {
            Either::Left((true, _)) | Either::Right((true, _)) => true,
            Either::Left((false, any)) => any.await,
            Either::Right((false, first)) => first.await,
        }
    }

    /// Pulls from `member`, if there is one; returns whether a feed changed before the pull is overdue.
    async fn pull_from(self: &rc::Rc<Self>, member: Option<&rc::Rc<Member>>) -> bool {
        let Some(member) = member else {
            return false;
        };
        let (sender, receiver) = oneshot::channel();
        let (shared, to) = (self.clone(), member.peer_address);
        compio::runtime::spawn(async move {
            // The receiver is gone if the pull was overdue.
            let _ = sender.send(shared.pull(to).await);
        })
        .detach();
        let changed = compio::time::timeout(self.intervals.pull_overdue, receiver).await;
        matches!(changed, Ok(Ok(true)))
    }

    /// Starts a pull from `node`, whose message has shown that changes are missing here.
    pub(crate) fn start_pull_from(self: &rc::Rc<Self>, node: &units::Node) {
        let view = self.parts.members.get();
        match view.member(node) {
            Some(member) => self.start_pull(member.peer_address),
            None => self.start_pull_from_any(),
        }
    }

    /// Starts a pull from the node at `to`, unless one from there or too many are running.
    fn start_pull(self: &rc::Rc<Self>, to: units::Address) {
        let started = time::Instant::now();
        if !self.may_pull(to, started) {
            return;
        }
        self.pulling.borrow_mut().push((to, started));
        let shared = self.clone();
        compio::runtime::spawn(async move {
            shared.pull(to).await;
            let mut pulling = shared.pulling.borrow_mut();
            pulling.retain(|pull| *pull != (to, started));
        })
        .detach();
    }

    /// Whether a pull from the node at `to` may start: an overdue one stands in the way of no other.
    fn may_pull(&self, to: units::Address, now: time::Instant) -> bool {
        let pulling = self.pulling.borrow();
        let overdue = self.intervals.pull_overdue;
        let recent = |pull: &&(units::Address, time::Instant)| {
            now.saturating_duration_since(pull.1) < overdue
        };
        let mut addresses = pulling.iter().filter(recent).map(|pull| pull.0);
        let is_asked = addresses.clone().any(|address| address == to);
        pulling.len() < Self::ALL_PULLS && !is_asked && addresses.nth(Self::PULLS - 1).is_none()
    }

    /// Pulls from the node at `to`; returns whether a feed changed.
    async fn pull(self: &rc::Rc<Self>, to: units::Address) -> bool {
        let before = self.heads();
        let full = self.needs_full_pull();
        let pull = wire::Pull {
            heads: match full {
                true => Vec::new(),
                false => self.known_heads(),
            },
        };
        self.count(|counts| counts.pulled += 1);
        let started = time::Instant::now();
        let timeout = self.intervals.pull_timeout;
        let pulled = self
            .call(to, wire::request::Kind::Pull(pull), timeout)
            .await;
        let error = pulled.as_ref().err().map(ToString::to_string);
        log::info!(event = "pull-ended", to:% = to, full = full, took_ms = units::millis(started.elapsed()),
            changed = pulled.as_ref().is_ok_and(|changed| *changed), error = error.as_deref().unwrap_or_default();
            "another node was asked for changes");
        if full && pulled.is_ok() {
            self.lacks_base.set(false);
        }
        let changed = pulled.unwrap_or_default();
        if changed {
            self.spread_changes(&before);
        }
        changed
    }

    /// Heads of the feeds that have been read, as they are sent to other nodes.
    pub(crate) fn known_heads(&self) -> Vec<wire::Head> {
        let heads = self.feeds.iter().filter_map(|feed| {
            let feed = feed.borrow();
            Some(wire::Head {
                prefix: feed.prefix().to_owned(),
                revision: feed.head()?.0,
            })
        });
        heads.collect()
    }

    /// Handles a request of another node.
    pub(crate) fn serve(self: &rc::Rc<Self>, incoming: peer::Incoming) {
        let Ok(request) = wire::Request::decode(incoming.payload.as_slice()) else {
            self.count(|counts| counts.malformed += 1);
            return incoming.answer.invalid();
        };
        let heads: Vec<_> = match &request.kind {
            Some(wire::request::Kind::Pull(pull)) => pull.heads.clone(),
            Some(wire::request::Kind::Push(push)) => push.parts.iter().map(head).collect(),
            None => return incoming.answer.invalid(),
        };
        let (age_ms, place) = Evidence::to_wire(self.evidence());
        let reply = wire::Reply {
            parts: self.parts_after(&heads),
            age_ms,
            place,
            certain_age_ms: self.proof_to_wire(),
            origin: self.origin.era().map(|era| u32::from(era.0)),
        };
        incoming.answer.send(reply.encode_to_vec());
        if let Some(wire::request::Kind::Push(push)) = request.kind {
            self.receive_push(&incoming.from, push);
        }
    }

    /// Changes of the feeds after `heads`.
    fn parts_after(&self, heads: &[wire::Head]) -> Vec<wire::Part> {
        let feeds = self.feeds.iter().filter_map(|feed| {
            let feed = feed.borrow();
            let known = heads.iter().find(|head| head.prefix == feed.prefix());
            let known = known.map(|head| platform::Revision(head.revision));
            if known.is_some() && feed.head() <= known {
                return None;
            }
            encoding::encode(&feed, known)
        });
        feeds.collect()
    }
}

/// Newest revision that the sender of a part has for its feed.
fn head(part: &wire::Part) -> wire::Head {
    wire::Head {
        prefix: part.prefix.clone(),
        revision: part.head,
    }
}
