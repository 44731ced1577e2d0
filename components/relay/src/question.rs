//! Questions to other nodes and to the store, whose answers prove that the configuration is complete.

use std::rc;
use std::time;

use membership::{Member, Ranks};
use platform::{Error, Event, Store};
use rand::seq::IndexedRandom;
use schema::relay as wire;
use units::Uptime;

use crate::shared::Shared;

impl<S: Store, L: peer::Link> Shared<S, L> {
    /// Part (1/n) of the time in which a withdrawn key must stop working that lies between two questions.
    const QUESTIONS: u32 = 8;
    /// Part (1/n) of that time up to which the age of a proof is good.
    const GOOD_PART: u32 = 4;
    /// Part (1/n) of that time after which the store itself is asked.
    const STORE_PART: u32 = 2;
    /// First interval between two questions of a starting node.
    const FIRST_QUESTION: time::Duration = time::Duration::from_millis(50);

    /// Asks another node in regular intervals how complete its configuration is proven to be, where
    /// withdrawn keys must stop working within a bound.
    pub(crate) async fn run_questions(self: rc::Rc<Self>, stop: kernel::Stop) {
        if !self.certainty.is_asked_for() {
            return;
        }
        let revocation = self.parts.settings.revocation.0;
        let started = time::Instant::now();
        let period = revocation / Self::QUESTIONS;
        let mut wait = Self::FIRST_QUESTION;
        while stop.sleep(wait).await {
            let ended = stop.guard(self.ask_in_turn(period)).await;
            if ended.is_none() {
                return;
            }
            // A starting node first has to learn who its members are.
            let may_read = started.elapsed() > revocation / Self::STORE_PART;
            if may_read && !self.is_proven_within(revocation / Self::STORE_PART) {
                compio::runtime::spawn(self.clone().read_proof()).detach();
            }
            wait = match self.certainty.feed_age() {
                Some(_) => period,
                None => (wait * 2).min(period),
            };
        }
    }

    /// Asks nodes one after the other until one has proven something newer, or the proof is good.
    async fn ask_in_turn(self: &rc::Rc<Self>, period: time::Duration) {
        // Without a feed, the pulls of a starting node bring it and the proof together.
        if !self.is_loaded() || (self.is_reading() && self.is_proven_within(period)) {
            return;
        }
        let good = self.parts.settings.revocation.0 / Self::GOOD_PART;
        for node in self.nodes_to_ask() {
            let asked = Uptime::now();
            let before = self.certainty.feed_age();
            self.ask(node.peer_address).await;
            let took = Uptime::now().saturating_since(asked);
            let after = self.certainty.feed_age();
            let is_newer = match (before, after) {
                (Some(before), Some(after)) => after < before + took,
                (None, after) => after.is_some(),
                (Some(_), None) => false,
            };
            if is_newer || self.is_proven_within(good) {
                return;
            }
        }
    }

    /// Asks the node at `to` for what is newer there, and for its proof.
    async fn ask(self: &rc::Rc<Self>, to: units::Address) {
        let before = self.heads();
        let pull = wire::Pull {
            heads: self.known_heads(),
        };
        self.count(|counts| counts.asked += 1);
        let timeout = self.intervals.answer_timeout;
        let kind = wire::request::Kind::Pull(pull);
        let changed = self.call(to, kind, timeout).await;
        if changed.unwrap_or_default() {
            self.spread_changes(&before);
        }
    }

    /// The first-ranked node of the data centre, a node that watches the store, and any node.
    fn nodes_to_ask(&self) -> Vec<rc::Rc<Member>> {
        let rng = &mut rand::rng();
        let ranks = self.ranks();
        let is_other = |member: &&rc::Rc<Member>| member.node != self.parts.node;
        let first = ranks.first(&self.parts.data_centre, 1).find(is_other);
        let first = first.filter(|_| !self.is_reading()).cloned();
        let watchers = self.watchers(&ranks);
        let watcher = watchers.choose(rng).cloned();
        let any = self.others().choose(rng).cloned();
        let mut nodes: Vec<rc::Rc<Member>> = Vec::new();
        for node in [first, watcher, any].into_iter().flatten() {
            if nodes.iter().all(|known| known.node != node.node) {
                nodes.push(node);
            }
        }
        nodes
    }

    /// The other nodes that watch the store while there are no faults.
    fn watchers(&self, ranks: &Ranks) -> Vec<rc::Rc<Member>> {
        let centres: Vec<_> = ranks.centres().collect();
        let watchers = (0..self.parts.settings.watchers).filter_map(|place| {
            let centre = centres.get(place.checked_rem(centres.len())?)?;
            let rank = place / centres.len();
            ranks.first(centre, rank + 1).nth(rank)
        });
        let others = watchers.filter(|member| member.node != self.parts.node);
        others.cloned().collect()
    }

    /// Reads the store for a proof, at a random time so that not all nodes do so at once.
    async fn read_proof(self: rc::Rc<Self>) {
        let spread = self.spread_of_nodes();
        let pause = self.intervals.retry.max(spread);
        let last = self.proven_by_store.replace(Some(time::Instant::now()));
        if last.is_some_and(|last| last.elapsed() < pause) {
            self.proven_by_store.set(last);
            return;
        }
        compio::time::sleep(spread.mul_f64(rand::random())).await;
        let revocation = self.parts.settings.revocation.0;
        if self.is_proven_within(revocation / Self::STORE_PART) {
            return;
        }
        self.count(|counts| counts.proofs_read += 1);
        let started = time::Instant::now();
        let read = self.read_proven_topic().await;
        log::info!(event = "proof-read", took_ms = units::millis(started.elapsed()), answered = read.is_ok();
            "the store was asked whether the configuration is the newest");
    }

    async fn read_proven_topic(self: &rc::Rc<Self>) -> Result<(), Error> {
        let Some(prefix) = self.topics.first().map(|topic| topic.prefix) else {
            return Ok(());
        };
        let store = &self.parts.store;
        let head = self.feed(prefix).and_then(|feed| feed.borrow().head());
        let asked = Uptime::now();
        let watched = match head.filter(|head| head.0 > 0) {
            Some(head) => store.watch(prefix, head, time::Duration::ZERO).await,
            None => Err(Error::Gone),
        };
        let objects = match watched {
            Err(Error::Gone) => store.list(prefix).await?.objects,
            events => {
                let puts = events?.events.into_iter().filter_map(|event| match event {
                    Event::Put(object) => Some(object),
                    Event::Removed(..) => None,
                });
                puts.collect()
            }
        };
        if !objects.is_empty() {
            self.merge_read(prefix, |feed| feed.merge(objects));
        }
        self.record_read_proof(prefix, asked);
        Ok(())
    }

    /// Whether the objects below `prefix` are those whose completeness is proven.
    pub(crate) fn is_proven(&self, prefix: &str) -> bool {
        let first = self.topics.first();
        first.is_some_and(|topic| topic.prefix == prefix)
    }

    fn is_proven_within(&self, limit: time::Duration) -> bool {
        self.certainty.feed_age().is_some_and(|age| age <= limit)
    }

    /// Records that a read of the store by this node made the objects below `prefix` complete up to `at`.
    ///
    /// A store that has come back from a copy may show an older state than it has acknowledged: its
    /// answers count only once a node that has kept what it lost has been heard, or none has in time.
    pub(crate) fn record_read_proof(&self, prefix: &str, at: Uptime) {
        if self.is_proven(prefix) && self.is_kept_or_unknown() {
            self.record_feed_proof(at);
        }
    }

    /// Records the proof in the reply to a question that was sent at `asked`, once all its parts are applied.
    pub(crate) fn record_proof(&self, reply: &wire::Reply, asked: Uptime) {
        let age = reply.certain_age_ms.map(time::Duration::from_millis);
        if let Some(at) = age.and_then(|age| asked.checked_sub(age)) {
            self.record_feed_proof(at);
        }
    }

    fn record_feed_proof(&self, at: Uptime) {
        let feed = self.feeds.first().and_then(|feed| feed.borrow().head());
        if let Some(head) = feed {
            self.certainty.record(at, head);
        }
    }

    /// Age of the proof in milliseconds, rounded up, as it is sent to other nodes.
    pub(crate) fn proof_to_wire(&self) -> Option<u64> {
        let age = self.certainty.feed_age()?;
        u64::try_from(age.as_nanos().div_ceil(1_000_000)).ok()
    }
}
