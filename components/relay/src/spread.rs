//! Distribution of changes and heartbeats to other nodes.

use std::rc;
use std::time;

use membership::{Member, State};
use platform::{Revision, Store};
use schema::relay as wire;

use crate::shared::Shared;
use crate::source::Source;
use crate::{Evidence, encoding, tree};

/// Content of the push messages to several nodes.
#[derive(Clone)]
struct Message {
    parts: Vec<wire::Part>,
    /// Evidence that the sender's state was complete.
    evidence: Option<Evidence>,
}

impl Message {
    fn push(&self, centre: bool, targets: &[units::Address]) -> wire::Push {
        let (age_ms, place) = Evidence::to_wire(self.evidence);
        wire::Push {
            parts: self.parts.clone(),
            age_ms,
            place,
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
    const REPEAT_FRACTION: f64 = 0.5;

    /// Sends heartbeats while this node watches the store and has no evidence to report, so that the
    /// others know that it runs.
    pub(crate) async fn run_heartbeats(self: rc::Rc<Self>, stop: kernel::Stop) {
        while stop.sleep(self.intervals.heartbeat).await {
            let is_watcher = self.candidate().behind.is_none() || self.is_reading();
            if is_watcher && self.is_quiet() {
                self.spread_heartbeat();
            }
        }
    }

    /// Reports evidence that was recorded at `recorded_at`, unless a message has done so since.
    pub(crate) fn report_evidence(self: &rc::Rc<Self>, recorded_at: time::Instant) {
        let is_reported = self.spread_at.get().is_some_and(|at| at >= recorded_at);
        if !is_reported {
            self.spread_heartbeat();
        }
    }

    /// Sends the evidence of this node to all data centres.
    fn spread_heartbeat(self: &rc::Rc<Self>) {
        if self.is_loaded() {
            let heads = self.heads();
            self.spread_in_centre(self.message(&heads));
            self.spread_to_centres();
        }
    }

    /// Whether this node has distributed no message for the interval of heartbeats.
    fn is_quiet(&self) -> bool {
        let at = self.spread_at.get();
        at.is_none_or(|at| at.elapsed() >= self.intervals.heartbeat)
    }

    /// Distributes the changes after `before`, the earlier heads of the feeds.
    pub(crate) fn spread_changes(self: &rc::Rc<Self>, before: &[Option<Revision>]) {
        if !self.is_loaded() {
            return;
        }
        if self.is_distributor() {
            self.spread_in_centre(self.message(before));
        }
        if self.is_reading() {
            self.spread_to_centres();
        }
    }

    /// Creates a message with the changes after `heads` and the age of this node's state.
    fn message(&self, heads: &[Option<Revision>]) -> Message {
        let feeds = self.feeds.iter().zip(heads);
        let parts = feeds.filter_map(|(feed, head)| encoding::encode(&feed.borrow(), *head));
        Message {
            parts: parts.collect(),
            evidence: self.evidence(),
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
        let timeout = self.intervals.answer_timeout;
        let sent = self
            .call(to, wire::request::Kind::Push(push), timeout)
            .await;
        sent.is_ok()
    }

    /// Applies a push of another node and forwards it.
    pub(crate) fn receive_push(self: &rc::Rc<Self>, from: &units::Node, push: wire::Push) {
        self.record_message();
        let evidence = Evidence::of_push(&push);
        let before = self.heads();
        let result = self.apply_parts(&push.parts, Source::Push(from));
        if result.complete {
            self.record_evidence(evidence);
        } else {
            self.start_pull_from(from);
        }
        let message = Message {
            parts: push.parts,
            evidence,
        };
        if push.centre {
            // The pull sends on what is missing here, and with it the evidence.
            if result.complete {
                self.forward_in_centre(message, &before);
            }
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
}

/// Addresses of the members in the order in which they receive a message.
///
/// Suspected members come last, so that no other one waits for their timeouts. The rest keep the order
/// of their names, so that messages use the same connections each time.
fn delivery_order(mut members: Vec<rc::Rc<Member>>) -> Vec<units::Address> {
    members.sort_by_key(|member| member.state != State::Alive);
    members.iter().map(|member| member.peer_address).collect()
}
