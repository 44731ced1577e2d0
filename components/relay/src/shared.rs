//! What the tasks of the relay share.

use std::cell;
use std::rc;
use std::time;

use membership::{Member, Ranks};
use platform::{Revision, Store};
use prost::Message;
use schema::relay as wire;

use crate::relay::Parts;
use crate::{Counts, Coverage, Dump, Feed, Head, Place, Taken, Times, Topic, encoding};

/// Name under which nodes pass on what they know.
pub(crate) const SERVICE: &str = "relay";

/// What the tasks of the relay share.
pub(crate) struct Shared<S, L> {
    pub(crate) parts: Parts<S, L>,
    pub(crate) times: Times,
    pub(crate) topics: Vec<Topic>,
    /// One for each topic.
    pub(crate) feeds: Vec<cell::RefCell<Feed>>,
    pub(crate) coverage: cell::Cell<Coverage>,
    /// The watches of this node, one for each feed, while it watches.
    pub(crate) watches: cell::RefCell<Vec<Watch>>,
    /// When this node last passed something on to its data centre.
    pub(crate) spread_at: cell::Cell<Option<time::Instant>>,
    /// Whether this node asks another one for what it lacks.
    pub(crate) fetching: cell::Cell<bool>,
    /// Whether a difference came to a value that this node does not hold: it asks for all.
    pub(crate) whole: cell::Cell<bool>,
    counts: cell::Cell<Counts>,
    order: cell::RefCell<Order>,
}

/// A watch of the store by this node.
pub(crate) struct Watch {
    /// Makes it read again.
    pub(crate) nudge: platform::Nudge,
    /// Whether the store has answered it, and no call has failed since.
    pub(crate) healthy: rc::Rc<cell::Cell<bool>>,
    /// Ends it.
    pub(crate) _trigger: kernel::Trigger,
}

/// The order of the members at one view.
#[derive(Default)]
struct Order {
    generation: Option<u64>,
    ranks: rc::Rc<Ranks>,
}

impl<S: Store, L: peer::Link> Shared<S, L> {
    pub(crate) fn new(parts: Parts<S, L>, topics: Vec<Topic>) -> Self {
        let feeds = topics.iter().map(|topic| Feed::new(topic.prefix));
        Self {
            times: parts.settings.times(),
            feeds: feeds.map(cell::RefCell::new).collect(),
            coverage: cell::Cell::new(Coverage::new(time::Instant::now())),
            watches: cell::RefCell::default(),
            spread_at: cell::Cell::default(),
            fetching: cell::Cell::default(),
            whole: cell::Cell::default(),
            counts: cell::Cell::default(),
            order: cell::RefCell::default(),
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

    /// The order of the members of each data centre.
    pub(crate) fn ranks(&self) -> rc::Rc<Ranks> {
        let view = self.parts.members.get();
        let mut order = self.order.borrow_mut();
        if order.generation != Some(view.generation()) {
            order.generation = Some(view.generation());
            order.ranks = rc::Rc::new(Ranks::new(view.members().iter()));
        }
        order.ranks.clone()
    }

    /// Place of this node in the order of the fleet: the first of each data centre, then the second of
    /// each, and so on.
    pub(crate) fn place(&self) -> Place {
        let ranks = self.ranks();
        let centres = ranks.centres().count();
        let own = &self.parts.data_centre;
        let centre = ranks.centres().position(|name| name == own)?;
        let rank = self.rank()?;
        Some(rank * centres + centre)
    }

    /// Place of this node in its data centre.
    fn rank(&self) -> Option<usize> {
        let ranks = self.ranks();
        let mut first = ranks.first(&self.parts.data_centre, Ranks::MEMBERS_PER_CENTRE);
        first.position(|member| member.node == self.parts.node)
    }

    /// Whether news that comes to this node goes to its data centre from here.
    pub(crate) fn is_distributor(&self) -> bool {
        self.is_watching() || self.rank() == Some(0)
    }

    /// The other members that run.
    pub(crate) fn others(&self) -> Vec<rc::Rc<Member>> {
        let view = self.parts.members.get();
        let others = view.running().filter(|one| one.node != self.parts.node);
        others.cloned().collect()
    }

    pub(crate) fn hear(&self, complete: Option<time::Instant>) {
        let mut coverage = self.coverage.get();
        coverage.hear(complete, time::Instant::now());
        self.coverage.set(coverage);
    }

    /// Whether this node watches the store, and the store answers.
    pub(crate) fn is_watch_healthy(&self) -> bool {
        let watches = self.watches.borrow();
        !watches.is_empty() && watches.iter().all(|watch| watch.healthy.get())
    }

    pub(crate) fn is_watching(&self) -> bool {
        !self.watches.borrow().is_empty()
    }

    /// Time since the state of this node was known to be complete.
    pub(crate) fn age(&self) -> time::Duration {
        if self.is_watch_healthy() {
            return time::Duration::ZERO;
        }
        self.coverage.get().age(time::Instant::now())
    }

    /// Revisions up to which the feeds are known.
    pub(crate) fn heads(&self) -> Vec<Option<Revision>> {
        let feeds = self.feeds.iter();
        feeds.map(|feed| feed.borrow().head()).collect()
    }

    pub(crate) fn feed(&self, prefix: &str) -> Option<&cell::RefCell<Feed>> {
        self.feed_place(prefix).map(|place| &self.feeds[place])
    }

    fn feed_place(&self, prefix: &str) -> Option<usize> {
        let mut feeds = self.feeds.iter();
        feeds.position(|feed| feed.borrow().prefix() == prefix)
    }

    /// Whether something of each feed is known.
    pub(crate) fn is_known(&self) -> bool {
        self.feeds.iter().all(|feed| feed.borrow().head().is_some())
    }

    /// Sends a request to the relay of another node, and takes what it knows beyond this one.
    ///
    /// Returns whether anything new came with the answer.
    pub(crate) async fn call(
        &self,
        to: units::Address,
        kind: wire::request::Kind,
    ) -> Result<bool, peer::Error> {
        let request = wire::Request { kind: Some(kind) }.encode_to_vec();
        let link = &self.parts.link;
        let answer = link.call(to, SERVICE, request, self.times.answer).await;
        let answer = answer.inspect_err(|_| self.count(|counts| counts.failed += 1))?;
        let Ok(reply) = wire::Reply::decode(answer.as_slice()) else {
            self.count(|counts| counts.malformed += 1);
            return Err(peer::Error::Invalid);
        };
        self.hear(complete(reply.age_ms));
        let taken = self.take(&reply.parts);
        Ok(taken.news)
    }

    /// Puts the parts of a message into the feeds.
    pub(crate) fn take(&self, given: &[wire::Part]) -> Outcome {
        let mut taken = Outcome::default();
        for part in given {
            let Some(place) = self.feed_place(&part.prefix) else {
                continue;
            };
            let Some(changes) = encoding::decode(part) else {
                self.count(|counts| counts.malformed += 1);
                continue;
            };
            let mut feed = self.feeds[place].borrow_mut();
            let before = feed.head();
            let head = Revision(part.head);
            match feed.take(encoding::after(part), head, &changes) {
                Taken::Known => {}
                Taken::Gap => taken.gap = true,
                Taken::Base => {
                    taken.gap = true;
                    self.whole.set(true);
                }
            }
            if feed.head() != before {
                taken.news = true;
                self.check_watch(place);
            }
        }
        taken
    }

    /// Another node knew of a change first: a watch that is not about to tell of it has gone silent.
    fn check_watch(&self, place: usize) {
        if let Some(watch) = self.watches.borrow().get(place) {
            watch.nudge.ring();
        }
    }
}

/// What came of the parts of a message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    /// Something was new.
    pub(crate) news: bool,
    /// Changes before those in the message are missing.
    pub(crate) gap: bool,
}

/// The moment that was `age_ms` ago; `None` where it is beyond all that counts.
pub(crate) fn complete(age_ms: u64) -> Option<time::Instant> {
    time::Instant::now().checked_sub(time::Duration::from_millis(age_ms))
}
