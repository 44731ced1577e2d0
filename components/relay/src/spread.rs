//! Distribution of changes and heartbeats to other nodes.

use std::rc;
use std::time;

use membership::{Member, State};
use platform::{Revision, Store};
use schema::relay as wire;

use crate::shared::{Shared, instant_ago};
use crate::source::Source;
use crate::{encoding, tree};

/// Content of the push messages to several nodes.
#[derive(Clone)]
struct Message {
    parts: Vec<wire::Part>,
    /// Time at which the state of the watcher was complete.
    complete_at: Option<time::Instant>,
    /// Position of the watcher in the order of the fleet.
    place: u32,
}

impl Message {
    fn push(&self, centre: bool, targets: &[units::Address]) -> wire::Push {
        let now = time::Instant::now();
        let age = |complete_at| now.saturating_duration_since(complete_at);
        wire::Push {
            parts: self.parts.clone(),
            age_ms: self
                .complete_at
                .map_or(u64::MAX, |complete_at| units::millis(age(complete_at))),
            place: self.place,
            centre,
            targets: targets.iter().map(ToString::to_string).collect(),
        }
    }
}

impl<S: Store, L: peer::Link> Shared<S, L> {
    /// Number of nodes of another data centre that are tried, one after the other.
    const ATTEMPTS: usize = 3;
    /// Fraction of the heartbeat interval after a message in the data centre during which heartbeats of
    /// other watchers are not forwarded.
    const REPEAT_FRACTION: f64 = 0.75;

    /// Sends heartbeats to all data centres while this node watches the store.
    pub(crate) async fn run_heartbeats(self: rc::Rc<Self>, stop: kernel::Stop) {
        while stop.sleep(self.intervals.heartbeat).await {
            if self.is_watching() && self.is_loaded() {
                let heads = self.heads();
                self.spread_in_centre(self.message(&heads));
                self.spread_to_centres();
            }
        }
    }

    /// Distributes the changes after `before`, the earlier heads of the feeds.
    pub(crate) fn spread_changes(self: &rc::Rc<Self>, before: &[Option<Revision>]) {
        if !self.is_loaded() {
            return;
        }
        if self.is_distributor() {
            self.spread_in_centre(self.message(before));
        }
        if self.is_watching() {
            self.spread_to_centres();
        }
    }

    /// Creates a message with the changes after `heads` and the age of this node's state.
    fn message(&self, heads: &[Option<Revision>]) -> Message {
        let feeds = self.feeds.iter().zip(heads);
        let parts = feeds.filter_map(|(feed, head)| encoding::encode(&feed.borrow(), *head));
        let place = self.place().and_then(|place| u32::try_from(place).ok());
        Message {
            parts: parts.collect(),
            complete_at: time::Instant::now().checked_sub(self.age()),
            place: place.unwrap_or(u32::MAX),
        }
    }

    /// Distributes `message` to the nodes of this data centre.
    fn spread_in_centre(self: &rc::Rc<Self>, message: Message) {
        self.spread_at.set(Some(time::Instant::now()));
        let mut members = self.others();
        members.retain(|member| member.data_centre == self.parts.data_centre);
        self.start_branches(&message, &delivery_order(members));
    }

    /// Sends the heads of the feeds to the first-ranked node of each other data centre, which pulls the
    /// changes that it lacks; they thus cross between the data centres only once.
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

    /// Sends `message` to the first target that answers, which forwards it to the targets after it.
    async fn run_branch(&self, message: Message, targets: Vec<units::Address>) {
        let mut rest = targets.as_slice();
        while let Some((to, after)) = rest.split_first() {
            if self.push(*to, message.push(false, after)).await {
                return;
            }
            rest = after;
        }
    }

    /// Sends `push` to the node at `to`; returns whether it was accepted.
    async fn push(&self, to: units::Address, push: wire::Push) -> bool {
        self.count(|counts| counts.pushed += 1);
        let sent = self.call(to, wire::request::Kind::Push(push)).await;
        sent.is_ok()
    }

    /// Applies a push of another node and forwards it.
    pub(crate) fn receive_push(self: &rc::Rc<Self>, from: &units::Node, push: wire::Push) {
        let complete_at = instant_ago(push.age_ms);
        self.record_message(complete_at);
        self.record_watcher(push.place, complete_at);
        let before = self.heads();
        let result = self.apply_parts(&push.parts, Source::Push(from));
        if result.gap {
            self.start_pull_from(from);
        }
        let message = Message {
            parts: push.parts,
            complete_at,
            place: push.place,
        };
        if push.centre {
            self.forward_in_centre(message, &before);
            return;
        }
        let targets = push.targets.iter().filter_map(|to| to.parse().ok());
        self.start_branches(&message, &targets.collect::<Vec<_>>());
    }

    /// Distributes a message from another data centre in this one, unless it holds no change and this
    /// node has sent a message there shortly before.
    fn forward_in_centre(self: &rc::Rc<Self>, message: Message, before: &[Option<Revision>]) {
        if self.heads() != before {
            self.spread_changes(before);
            return;
        }
        let due = self.intervals.heartbeat.mul_f64(Self::REPEAT_FRACTION);
        let is_due = |at: time::Instant| at.elapsed() >= due;
        if self.spread_at.get().is_none_or(is_due) {
            self.spread_in_centre(message);
        }
    }

    fn record_watcher(&self, place: u32, complete_at: Option<time::Instant>) {
        let own = self.place().and_then(|own| u32::try_from(own).ok());
        let is_predecessor = own.is_none_or(|own| place < own);
        if let Some(complete_at) = complete_at.filter(|_| is_predecessor) {
            let mut freshness = self.freshness.get();
            freshness.record_predecessor(complete_at);
            self.freshness.set(freshness);
        }
    }
}

/// Addresses of the members in the order in which they receive a message.
///
/// Suspected members come last, so that no other one waits for their timeouts. The rest keep the order
/// of their names, so that messages use the same connections each time.
fn delivery_order(mut members: Vec<rc::Rc<Member>>) -> Vec<units::Address> {
    members.sort_by_key(|member| member.state != State::Alive);
    members.iter().map(|member| member.peer_address).collect()
}
