//! State shared by the tasks of the relay.

use std::cell;
use std::rc;
use std::time;

use membership::{Member, Ranks};
use platform::{Revision, Store};
use prost::Message;
use schema::relay as wire;

use crate::relay::Parts;
use crate::source::Source;
use crate::{Counts, Dump, Feed, Freshness, Head, Intervals, Outcome, Place, Topic, encoding};

/// Name of the service, also in requests between nodes.
pub(crate) const SERVICE: &str = "relay";

/// State shared by the tasks of the relay.
pub(crate) struct Shared<S, L> {
    pub(crate) parts: Parts<S, L>,
    pub(crate) intervals: Intervals,
    pub(crate) topics: Vec<Topic>,
    /// One feed for each topic, in the same order.
    pub(crate) feeds: Vec<cell::RefCell<Feed>>,
    pub(crate) freshness: cell::Cell<Freshness>,
    /// Watches of this node, one for each feed; empty while it does not watch the store.
    pub(crate) watches: cell::RefCell<Vec<Watch>>,
    /// Time of the latest message that this node distributed in its data centre.
    pub(crate) spread_at: cell::Cell<Option<time::Instant>>,
    /// Whether a pull from a sender of missing changes is running.
    pub(crate) pulling: cell::Cell<bool>,
    /// Whether the next pull asks for the full feeds, because the base of a received delta is missing.
    pub(crate) needs_full_pull: cell::Cell<bool>,
    counts: cell::Cell<Counts>,
    rank_cache: cell::RefCell<RankCache>,
}

/// A watch of the store by this node.
pub(crate) struct Watch {
    /// Triggers another read.
    pub(crate) nudge: platform::Nudge,
    /// Whether the store has answered and no call has failed since.
    pub(crate) healthy: rc::Rc<cell::Cell<bool>>,
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
        let feeds = topics.iter().map(|topic| Feed::new(topic.prefix));
        Self {
            intervals: parts.settings.intervals(),
            feeds: feeds.map(cell::RefCell::new).collect(),
            freshness: cell::Cell::new(Freshness::new(time::Instant::now())),
            watches: cell::RefCell::default(),
            spread_at: cell::Cell::default(),
            pulling: cell::Cell::default(),
            needs_full_pull: cell::Cell::default(),
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
        let centre = ranks.centres().position(|name| name == own)?;
        let rank = self.rank()?;
        Some(rank * centres + centre)
    }

    /// Rank of this node in its data centre.
    fn rank(&self) -> Option<usize> {
        let ranks = self.ranks();
        let mut first = ranks.first(&self.parts.data_centre, Ranks::MEMBERS_PER_CENTRE);
        first.position(|member| member.node == self.parts.node)
    }

    /// Whether this node distributes the changes that it receives in its data centre.
    pub(crate) fn is_distributor(&self) -> bool {
        self.is_watching() || self.rank() == Some(0)
    }

    /// Running members except this node.
    pub(crate) fn others(&self) -> Vec<rc::Rc<Member>> {
        let view = self.parts.members.get();
        let others = view
            .running()
            .filter(|member| member.node != self.parts.node);
        others.cloned().collect()
    }

    pub(crate) fn record_message(&self, complete_at: Option<time::Instant>) {
        let mut freshness = self.freshness.get();
        freshness.record_message(complete_at, time::Instant::now());
        self.freshness.set(freshness);
    }

    /// Whether this node watches the store and all its watches are healthy.
    pub(crate) fn is_watch_healthy(&self) -> bool {
        let watches = self.watches.borrow();
        !watches.is_empty() && watches.iter().all(|watch| watch.healthy.get())
    }

    pub(crate) fn is_watching(&self) -> bool {
        !self.watches.borrow().is_empty()
    }

    /// Time since the state of this node was last known to be complete.
    pub(crate) fn age(&self) -> time::Duration {
        if self.is_watch_healthy() {
            return time::Duration::ZERO;
        }
        self.freshness.get().age(time::Instant::now())
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
    ) -> Result<bool, peer::Error> {
        let request = wire::Request { kind: Some(kind) }.encode_to_vec();
        let link = &self.parts.link;
        let answer = link
            .call(to, SERVICE, request, self.intervals.answer_timeout)
            .await;
        let answer = answer.inspect_err(|_| self.count(|counts| counts.failed += 1))?;
        let Ok(reply) = wire::Reply::decode(answer.as_slice()) else {
            self.count(|counts| counts.malformed += 1);
            return Err(peer::Error::Invalid);
        };
        self.record_message(instant_ago(reply.age_ms));
        let result = self.apply_parts(&reply.parts, Source::Reply(to));
        Ok(result.changed)
    }

    /// Applies the parts of a message to the feeds.
    pub(crate) fn apply_parts(&self, parts: &[wire::Part], source: Source<'_>) -> PartsOutcome {
        let mut result = PartsOutcome::default();
        for part in parts {
            let Some(index) = self.feed_index(&part.prefix) else {
                continue;
            };
            let Some(changes) = encoding::decode(part) else {
                self.count(|counts| counts.malformed += 1);
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
                Outcome::Gap => result.gap = true,
                Outcome::MissingBase => {
                    result.gap = true;
                    self.needs_full_pull.set(true);
                }
            }
            if feed.head() != before {
                self.log_change(&feed, before, source);
                result.changed = true;
                self.nudge_watch(index);
            }
        }
        result
    }

    /// Logs that `feed` has taken changes after `before`.
    pub(crate) fn log_change(&self, feed: &Feed, before: Option<Revision>, source: Source<'_>) {
        log::info!(event = "feed-changed", prefix = feed.prefix(), from:% = source, before:? = before,
            head:? = feed.head(), age_ms = units::millis(self.age());
            "the objects below a prefix have changed");
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
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PartsOutcome {
    /// A feed changed.
    pub(crate) changed: bool,
    /// Changes before those in the message, or the base of a delta, are missing.
    pub(crate) gap: bool,
}

/// Time `age_ms` before now; `None` if it cannot be represented.
pub(crate) fn instant_ago(age_ms: u64) -> Option<time::Instant> {
    time::Instant::now().checked_sub(time::Duration::from_millis(age_ms))
}
