//! State shared by the tasks of the relay.

use std::cell;
use std::rc;
use std::time;

use membership::{Member, Ranks};
use platform::{Era, Revision, Store};
use prost::Message;
use schema::relay as wire;
use units::Uptime;

use crate::answer::Answered;
use crate::origin::Origin;
use crate::relay::Parts;
use crate::source::Source;
use crate::{
    Candidate, Certainty, Counts, Dump, Evidence, Feed, Freshness, Head, Intervals, Outcome, Place,
    Topic, encoding,
};

/// Name of the service, also in requests between nodes.
pub(crate) const SERVICE: &str = "relay";

/// State shared by the tasks of the relay.
pub(crate) struct Shared<S, L> {
    pub(crate) parts: Parts<S, L>,
    pub(crate) intervals: Intervals,
    pub(crate) topics: Vec<Topic>,
    /// One feed for each topic, in the same order.
    pub(crate) feeds: Vec<cell::RefCell<Feed>>,
    pub(crate) freshness: cell::RefCell<Freshness>,
    /// How certain it is that the feed of the first topic is complete and in force.
    pub(crate) certainty: Certainty,
    /// When this node last read the store for a proof.
    pub(crate) proven_by_store: cell::Cell<Option<time::Instant>>,
    /// Watches of this node, one for each feed; empty while it does not watch the store.
    pub(crate) watches: cell::RefCell<Vec<Watch>>,
    /// Time of the latest message that this node distributed in its data centre.
    pub(crate) spread_at: cell::Cell<Option<time::Instant>>,
    /// Nodes from which pulls are running, and when those were started.
    pub(crate) pulling: cell::RefCell<Vec<(units::Address, time::Instant)>>,
    /// Whether the base of a received delta is missing.
    pub(crate) lacks_base: cell::Cell<bool>,
    pub(crate) origin: Origin,
    counts: cell::Cell<Counts>,
    rank_cache: cell::RefCell<RankCache>,
}

/// A watch of the store by this node.
pub(crate) struct Watch {
    /// Triggers another read.
    pub(crate) nudge: platform::Nudge,
    /// Latest answer of the store.
    pub(crate) answered: rc::Rc<cell::Cell<Answered>>,
    /// Stops the watch when dropped.
    pub(crate) _trigger: kernel::Trigger,
}

/// Ranks of the members, cached for one generation of the view.
#[derive(Default)]
struct RankCache {
    generation: Option<u64>,
    ranks: rc::Rc<Ranks>,
}

impl<S: Store, L: peer::Link> Shared<S, L> {
    pub(crate) fn new(parts: Parts<S, L>, topics: Vec<Topic>) -> Self {
        let feeds = topics
            .iter()
            .map(|topic| match Feed::new(topic.prefix, topic.version) {
                feed if topic.removals => feed.with_removals(),
                feed => feed,
            });
        Self {
            intervals: parts.settings.intervals(),
            feeds: feeds.map(cell::RefCell::new).collect(),
            freshness: cell::RefCell::new(Freshness::new(time::Instant::now())),
            certainty: Certainty::new(parts.settings.limits()),
            proven_by_store: cell::Cell::default(),
            watches: cell::RefCell::default(),
            spread_at: cell::Cell::default(),
            pulling: cell::RefCell::default(),
            lacks_base: cell::Cell::default(),
            origin: Origin::new(time::Instant::now()),
            counts: cell::Cell::default(),
            rank_cache: cell::RefCell::default(),
            topics,
            parts,
        }
    }

    pub(crate) fn counts(&self) -> Counts {
        self.counts.get()
    }

    pub(crate) fn dump(&self) -> Dump {
        let heads = self.feeds.iter().map(|feed| {
            let feed = feed.borrow();
            Head {
                prefix: feed.prefix(),
                revision: feed.head(),
            }
        });
        Dump {
            watching: self.is_watching(),
            place: self.place(),
            age_ms: units::millis(self.age()),
            certain_age_ms: self.certainty.age().map(units::millis),
            evidence: self.evidence().map(|evidence| evidence.place),
            heads: heads.collect(),
            counts: self.counts(),
        }
    }

    pub(crate) fn count(&self, add: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        add(&mut counts);
        self.counts.set(counts);
    }

    /// Ranks of the members of each data centre.
    pub(crate) fn ranks(&self) -> rc::Rc<Ranks> {
        let view = self.parts.members.get();
        let mut rank_cache = self.rank_cache.borrow_mut();
        if rank_cache.generation != Some(view.generation()) {
            rank_cache.generation = Some(view.generation());
            rank_cache.ranks = rc::Rc::new(Ranks::new(view.members().iter()));
        }
        rank_cache.ranks.clone()
    }

    /// Position of this node in the order of the fleet: the first-ranked node of each data centre, then
    /// the second-ranked ones, and so on.
    pub(crate) fn place(&self) -> Place {
        let ranks = self.ranks();
        let centres = ranks.centres().count();
        let own = &self.parts.data_centre;
        let centre = ranks.centres().position(|name| name == own);
        match centre.zip(self.rank()) {
            Some((centre, rank)) => Place::ranked(rank * centres + centre),
            None => Place::unranked(&self.parts.node),
        }
    }

    /// Rank of this node in its data centre.
    fn rank(&self) -> Option<usize> {
        let ranks = self.ranks();
        let mut first = ranks.first(&self.parts.data_centre, Ranks::MEMBERS_PER_CENTRE);
        first.position(|member| member.node == self.parts.node)
    }

    /// This node as a candidate for watching the store.
    pub(crate) fn candidate(&self) -> Candidate {
        let place = self.place();
        let settings = &self.parts.settings;
        let ranked = self.ranks().centres().count() * Ranks::MEMBERS_PER_CENTRE;
        let position = place.position();
        let spread = position.map_or(self.spread_of_nodes(), |_| time::Duration::ZERO);
        Candidate {
            place,
            behind: position.unwrap_or(ranked).checked_sub(settings.watchers),
            spread: spread.mul_f64(place.fraction()),
            watching: self.is_watching(),
        }
    }

    /// Time that all nodes together need for one call each, at the rate that the settings allow.
    pub(crate) fn spread_of_nodes(&self) -> time::Duration {
        let nodes = self.parts.members.get().members().len();
        time::Duration::from_secs_f64(nodes as f64 / self.parts.settings.reads.0)
    }

    /// Whether this node distributes the changes that it receives in its data centre.
    pub(crate) fn is_distributor(&self) -> bool {
        self.is_reading() || self.rank() == Some(0)
    }

    /// Running members except this node.
    pub(crate) fn others(&self) -> Vec<rc::Rc<Member>> {
        let view = self.parts.members.get();
        let others = view
            .running()
            .filter(|member| member.node != self.parts.node);
        others.cloned().collect()
    }

    pub(crate) fn is_watching(&self) -> bool {
        !self.watches.borrow().is_empty()
    }

    /// Heads of the feeds.
    pub(crate) fn heads(&self) -> Vec<Option<Revision>> {
        let feeds = self.feeds.iter();
        feeds.map(|feed| feed.borrow().head()).collect()
    }

    pub(crate) fn feed(&self, prefix: &str) -> Option<&cell::RefCell<Feed>> {
        self.feed_index(prefix).map(|index| &self.feeds[index])
    }

    fn feed_index(&self, prefix: &str) -> Option<usize> {
        let mut feeds = self.feeds.iter();
        feeds.position(|feed| feed.borrow().prefix() == prefix)
    }

    /// Whether each feed has been read.
    pub(crate) fn is_loaded(&self) -> bool {
        self.feeds.iter().all(|feed| feed.borrow().head().is_some())
    }

    /// Sends a request to the relay of another node, and applies the changes in its answer.
    ///
    /// Returns whether a feed changed.
    pub(crate) async fn call(
        &self,
        to: units::Address,
        kind: wire::request::Kind,
        timeout: time::Duration,
    ) -> Result<bool, peer::Error> {
        let is_full = matches!(&kind, wire::request::Kind::Pull(pull) if pull.heads.is_empty());
        let request = wire::Request { kind: Some(kind) }.encode_to_vec();
        let link = &self.parts.link;
        let (asked, asked_at) = (time::Instant::now(), Uptime::now());
        let answer = link.call(to, SERVICE, request, timeout).await;
        let answer = answer.inspect_err(|_| self.count(|counts| counts.failed += 1))?;
        let Ok(reply) = wire::Reply::decode(answer.as_slice()) else {
            self.count(|counts| counts.malformed += 1);
            return Err(peer::Error::Invalid);
        };
        self.record_message();
        let result = self.apply_parts(&reply.parts, Source::Reply(to));
        if result.complete {
            self.record_origin(&reply, is_full);
            self.record_evidence(Evidence::of_reply(&reply, asked));
            self.record_proof(&reply, asked_at);
        }
        Ok(result.changed)
    }

    /// Records from which era on the state is kept, after the full feeds of another node were applied.
    fn record_origin(&self, reply: &wire::Reply, is_full: bool) {
        let era = reply.origin.and_then(|era| u16::try_from(era).ok());
        if let Some(era) = era.filter(|_| is_full) {
            self.origin.record(Era(era));
        }
    }

    /// Applies the parts of a message to the feeds.
    pub(crate) fn apply_parts(&self, parts: &[wire::Part], source: Source<'_>) -> PartsOutcome {
        let mut result = PartsOutcome {
            changed: false,
            complete: true,
        };
        for part in parts {
            let Some(index) = self.feed_index(&part.prefix) else {
                continue;
            };
            let Some(changes) = encoding::decode(part) else {
                self.count(|counts| counts.malformed += 1);
                result.complete = false;
                continue;
            };
            let mut feed = self.feeds[index].borrow_mut();
            let before = feed.head();
            let head = Revision(part.head);
            let outcome = feed.apply(encoding::after(part), head, &changes);
            if outcome != Outcome::Applied {
                log::info!(event = "part-not-applied", prefix = part.prefix.as_str(), from:% = source,
                    reason:? = outcome, held:? = before, after = part.after, head = part.head;
                    "changes of another node could not be applied");
            }
            match outcome {
                Outcome::Applied => {}
                Outcome::Gap => result.complete = false,
                Outcome::MissingBase => {
                    result.complete = false;
                    self.lacks_base.set(true);
                }
            }
            if feed.head() != before {
                self.record_change(&feed, before, source);
                result.changed = true;
                self.nudge_watch(index);
            }
        }
        result
    }

    /// Logs that `feed` has taken changes after `before`, and asks for what other nodes have kept if it has
    /// entered a new era.
    pub(crate) fn record_change(&self, feed: &Feed, before: Option<Revision>, source: Source<'_>) {
        let era = |head: Option<Revision>| head.map(Revision::era);
        if before.is_some() && era(before) < era(feed.head()) {
            self.lacks_base.set(true);
        }
        self.record_head(feed);
        log::info!(event = "feed-changed", prefix = feed.prefix(), from:% = source, before:? = before,
            head:? = feed.head(), age_ms = units::millis(self.age());
            "the objects below a prefix have changed");
    }

    /// Records how far a feed has got.
    pub(crate) fn record_head(&self, feed: &Feed) {
        if self.is_proven(feed.prefix()) {
            self.certainty.record_head(feed.head());
        }
    }

    /// Makes the watch of a feed read again after another node knew of a change first, as the watch may
    /// have stopped delivering events.
    fn nudge_watch(&self, index: usize) {
        if let Some(watch) = self.watches.borrow().get(index) {
            watch.nudge.ring();
        }
    }
}

/// Result of applying the parts of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PartsOutcome {
    /// A feed changed.
    pub(crate) changed: bool,
    /// The feeds contain everything that the sender of the message had.
    pub(crate) complete: bool,
}
