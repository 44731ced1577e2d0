//! Passes on what is known.

use std::rc;
use std::time;

use membership::{Member, State};
use platform::{Revision, Store};
use schema::relay as wire;

use crate::shared::{Shared, complete};
use crate::{encoding, tree};

/// What is passed on.
#[derive(Clone)]
struct Message {
    parts: Vec<wire::Part>,
    /// When the node that reads the store knew this to be complete.
    complete: Option<time::Instant>,
    /// Place of that node.
    place: u32,
}

impl Message {
    fn push(&self, centre: bool, targets: &[units::Address]) -> wire::Push {
        let now = time::Instant::now();
        let age = |complete| now.saturating_duration_since(complete);
        wire::Push {
            parts: self.parts.clone(),
            age_ms: self
                .complete
                .map_or(u64::MAX, |complete| units::millis(age(complete))),
            place: self.place,
            centre,
            targets: targets.iter().map(ToString::to_string).collect(),
        }
    }
}

impl<S: Store, L: peer::Link> Shared<S, L> {
    /// Nodes of another data centre that are tried one after the other.
    const ATTEMPTS: usize = 3;
    /// Part of the time between two heartbeats in which those of other watchers are not passed on, too.
    const REPEAT_PART: f64 = 0.75;

    /// Tells all data centres at intervals that this node still watches.
    pub(crate) async fn run_heartbeats(self: rc::Rc<Self>, stop: kernel::Stop) {
        while stop.sleep(self.times.heartbeat).await {
            if self.is_watching() && self.is_known() {
                let heads = self.heads();
                self.spread_in_centre(self.message(&heads));
                self.spread_to_centres();
            }
        }
    }

    /// Passes on what changed after `before`, the heads of the feeds then.
    pub(crate) fn spread_news(self: &rc::Rc<Self>, before: &[Option<Revision>]) {
        if !self.is_known() {
            return;
        }
        if self.is_distributor() {
            self.spread_in_centre(self.message(before));
        }
        if self.is_watching() {
            self.spread_to_centres();
        }
    }

    /// What this node has after `heads`, with how new it is.
    fn message(&self, heads: &[Option<Revision>]) -> Message {
        let feeds = self.feeds.iter().zip(heads);
        let given = feeds.filter_map(|(feed, head)| encoding::encode(&feed.borrow(), *head));
        let place = self.place().and_then(|place| u32::try_from(place).ok());
        Message {
            parts: given.collect(),
            complete: time::Instant::now().checked_sub(self.age()),
            place: place.unwrap_or(u32::MAX),
        }
    }

    /// Passes `message` on to the nodes of this data centre.
    fn spread_in_centre(self: &rc::Rc<Self>, message: Message) {
        self.spread_at.set(Some(time::Instant::now()));
        let mut members = self.others();
        members.retain(|member| member.data_centre == self.parts.data_centre);
        self.start_branches(&message, &in_order(members));
    }

    /// Tells the first of each other data centre how far this node knows the feeds; they ask for what
    /// they lack, so that it crosses once.
    fn spread_to_centres(self: &rc::Rc<Self>) {
        let message = self.message(&self.heads());
        let ranks = self.ranks();
        let own = &self.parts.data_centre;
        for centre in ranks.centres().filter(|centre| *centre != own) {
            let candidates = ranks.first(centre, Self::ATTEMPTS);
            let candidates: Vec<_> = candidates.map(|member| member.peer_address).collect();
            let (shared, message) = (self.clone(), message.clone());
            compio::runtime::spawn(async move {
                for candidate in candidates {
                    if shared.push(candidate, message.push(true, &[])).await {
                        return;
                    }
                }
            })
            .detach();
        }
    }

    fn start_branches(self: &rc::Rc<Self>, message: &Message, targets: &[units::Address]) {
        for branch in tree::split(targets, self.parts.settings.fanout) {
            let (shared, message) = (self.clone(), message.clone());
            compio::runtime::spawn(async move { shared.run_branch(message, branch).await })
                .detach();
        }
    }

    /// Hands `message` to the first target that answers, which passes it on to those after it.
    async fn run_branch(&self, message: Message, targets: Vec<units::Address>) {
        let mut rest = targets.as_slice();
        while let Some((to, after)) = rest.split_first() {
            if self.push(*to, message.push(false, after)).await {
                return;
            }
            rest = after;
        }
    }

    /// Whether the node at `to` has taken `push`.
    async fn push(&self, to: units::Address, push: wire::Push) -> bool {
        self.count(|counts| counts.pushed += 1);
        let sent = self.call(to, wire::request::Kind::Push(push)).await;
        sent.is_ok()
    }

    /// Takes a message of another node and passes it on.
    pub(crate) fn take_push(self: &rc::Rc<Self>, from: &units::Node, push: wire::Push) {
        let complete = complete(push.age_ms);
        self.hear(complete);
        self.hear_place(push.place, complete);
        let before = self.heads();
        let taken = self.take(&push.parts);
        if taken.gap {
            self.start_pull_from(from);
        }
        let message = Message {
            parts: push.parts,
            complete,
            place: push.place,
        };
        if push.centre {
            self.distribute(message, &before);
            return;
        }
        let targets = push.targets.iter().filter_map(|to| to.parse().ok());
        self.start_branches(&message, &targets.collect::<Vec<_>>());
    }

    /// Passes on to this data centre what came from another, unless it was told the same just now.
    fn distribute(self: &rc::Rc<Self>, message: Message, before: &[Option<Revision>]) {
        if self.heads() != before {
            self.spread_news(before);
            return;
        }
        let due = self.times.heartbeat.mul_f64(Self::REPEAT_PART);
        let is_due = |at: time::Instant| at.elapsed() >= due;
        if self.spread_at.get().is_none_or(is_due) {
            self.spread_in_centre(message);
        }
    }

    fn hear_place(&self, place: u32, complete: Option<time::Instant>) {
        let own = self.place().and_then(|own| u32::try_from(own).ok());
        let is_predecessor = own.is_none_or(|own| place < own);
        if let Some(complete) = complete.filter(|_| is_predecessor) {
            let mut coverage = self.coverage.get();
            coverage.hear_predecessor(complete);
            self.coverage.set(coverage);
        }
    }
}

/// Members that may not answer come last, so that nobody waits behind them; the rest in the order of
/// their names, so that messages go by the same connections each time.
fn in_order(mut members: Vec<rc::Rc<Member>>) -> Vec<units::Address> {
    members.sort_by_key(|member| member.state != State::Alive);
    members.iter().map(|member| member.peer_address).collect()
}
