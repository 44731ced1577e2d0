//! Pulls of newer changes from other nodes.

use std::rc;
use std::time;

use platform::Store;
use prost::Message;
use rand::seq::IndexedRandom;
use schema::relay as wire;

use crate::shared::Shared;
use crate::{Evidence, encoding};

impl<S: Store, L: peer::Link> Shared<S, L> {
    /// First interval between two pulls of a starting node.
    const FIRST_WAIT: time::Duration = time::Duration::from_millis(25);

    /// Pulls from random nodes while the state of this node is stale or not loaded.
    pub(crate) async fn run_pulls(self: rc::Rc<Self>, stop: kernel::Stop) {
        let mut wait = Self::FIRST_WAIT;
        while stop.sleep(wait).await {
            if !self.is_loaded() {
                stop.guard(self.pull_from_any()).await;
                wait = (wait * 2).min(self.intervals.answer_timeout);
                continue;
            }
            wait = self.intervals.answer_timeout;
            let now = time::Instant::now();
            if self.freshness.borrow().is_stale(now, &self.intervals) {
                stop.guard(self.pull_from_any()).await;
            }
        }
    }

    async fn pull_from_any(self: &rc::Rc<Self>) {
        let chosen = self.others().choose(&mut rand::rng()).cloned();
        if let Some(member) = chosen {
            self.pull(member.peer_address).await;
        }
    }

    /// Pulls from the first-ranked node of the data centre, then from a random node.
    ///
    /// Returns whether a feed changed.
    pub(crate) async fn pull_changes(self: &rc::Rc<Self>) -> bool {
        let ranks = self.ranks();
        let mut first = ranks.first(&self.parts.data_centre, 1);
        let first = first.find(|member| member.node != self.parts.node);
        let any = self.others().choose(&mut rand::rng()).cloned();
        for member in first.into_iter().chain(any.as_ref()) {
            if self.pull(member.peer_address).await {
                return true;
            }
        }
        false
    }

    /// Starts a pull from `node`, unless one is running already.
    pub(crate) fn start_pull_from(self: &rc::Rc<Self>, node: &units::Node) {
        if self.pulling.replace(true) {
            return;
        }
        let view = self.parts.members.get();
        let address = view.member(node).map(|member| member.peer_address);
        let shared = self.clone();
        compio::runtime::spawn(async move {
            match address {
                Some(address) => {
                    shared.pull(address).await;
                }
                None => shared.pull_from_any().await,
            }
            shared.pulling.set(false);
        })
        .detach();
    }

    /// Pulls from the node at `to`; returns whether a feed changed.
    async fn pull(self: &rc::Rc<Self>, to: units::Address) -> bool {
        let before = self.heads();
        let full = self.needs_full_pull.replace(false);
        let heads = self.feeds.iter().filter_map(|feed| {
            let feed = feed.borrow();
            if full {
                return None;
            }
            Some(wire::Head {
                prefix: feed.prefix().to_owned(),
                revision: feed.head()?.0,
            })
        });
        let pull = wire::Pull {
            heads: heads.collect(),
        };
        self.count(|counts| counts.pulled += 1);
        let started = time::Instant::now();
        let pulled = self.call(to, wire::request::Kind::Pull(pull)).await;
        let error = pulled.as_ref().err().map(ToString::to_string);
        log::info!(event = "pull-ended", to:% = to, full = full, took_ms = units::millis(started.elapsed()),
            changed = pulled.as_ref().is_ok_and(|changed| *changed), error = error.as_deref();
            "another node was asked for changes");
        let changed = pulled.unwrap_or_default();
        if changed {
            self.spread_changes(&before);
        }
        changed
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
        let evidence = self.evidence();
        let reply = wire::Reply {
            parts: self.parts_after(&heads),
            age_ms: evidence.map_or(Evidence::UNKNOWN_AGE_MS, Evidence::age_ms),
            place: evidence.map_or(0, |evidence| evidence.place.to_wire()),
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
