//! State shared by the tasks of the service and the request path.

use std::cell;
use std::rc;
use std::time;

use futures_channel::oneshot;
use prost::Message;
use schema::quota as wire;
use units::{Node, Uptime};

use crate::account::Account;
use crate::{
    Candidates, Counts, Dump, Entry, Granter, Intervals, Limit, Parts, Refusal, Sent, Settings,
    Take, Wallet,
};

/// State shared by the tasks of the service and the request path.
pub(crate) struct Shared {
    node: Node,
    members: membership::Reader,
    joined: Box<dyn Fn() -> bool>,
    holder: distribution::Holder,
    settings: Settings,
    wallet: cell::RefCell<Wallet>,
    granter: cell::RefCell<Granter>,
    candidates: cell::RefCell<Candidates>,
    /// Generation of the view of members that was recorded last, and the time of that.
    observed: cell::Cell<(Option<u64>, Uptime)>,
    /// Snapshot whose limits are applied.
    applied: cell::RefCell<Option<rc::Rc<config::Snapshot>>>,
    /// Requests that wait for a reply.
    waiting: cell::RefCell<Vec<oneshot::Sender<()>>>,
    /// Wakes the task that sends reports.
    bell: cell::RefCell<Option<oneshot::Sender<()>>>,
    counts: cell::Cell<Counts>,
    /// What was logged last: the granter, and whether this node grants.
    logged: cell::RefCell<(Option<Node>, bool)>,
}

impl Shared {
    /// Shortest time between two log lines of one workspace.
    const LOG_PAUSE: time::Duration = time::Duration::from_secs(5);
    /// Part of the capacity below which a bucket is near its limit.
    const NEAR: f64 = 0.5;
    /// Longest time between two looks at members that have not changed.
    const OBSERVE: time::Duration = time::Duration::from_millis(500);
    /// Entries in a dump.
    const DUMPED: usize = 50;

    pub(crate) fn new<L>(parts: Parts<L>) -> Self {
        let id = rand::random::<u64>().max(1);
        Self {
            wallet: cell::RefCell::new(Wallet::new(id, Uptime::now())),
            granter: cell::RefCell::new(Granter::new(id, parts.settings.clone())),
            node: parts.node,
            members: parts.members,
            joined: parts.joined,
            holder: parts.holder,
            settings: parts.settings,
            candidates: cell::RefCell::default(),
            observed: cell::Cell::default(),
            applied: cell::RefCell::default(),
            waiting: cell::RefCell::default(),
            bell: cell::RefCell::default(),
            counts: cell::Cell::default(),
            logged: cell::RefCell::default(),
        }
    }

    /// Applies changes of the configuration and the members.
    pub(crate) fn refresh(&self, now: Uptime) {
        let snapshot = self.holder.get();
        let is_applied = |one: &rc::Rc<config::Snapshot>| rc::Rc::ptr_eq(one, &snapshot);
        let is_same = self.applied.borrow().as_ref().is_some_and(is_applied);
        if !is_same {
            let limits = Limit::of(snapshot.workspaces(), &self.settings.terms());
            self.wallet.borrow_mut().configure(&limits, now);
            self.granter.borrow_mut().configure(limits, now);
            self.applied.replace(Some(snapshot));
        }
        if self.wallet.borrow().is_limited() {
            self.observe(now);
            self.granter.borrow_mut().settle(now);
        }
    }

    /// Records the members, if they have changed or were not recorded for a while.
    fn observe(&self, now: Uptime) {
        let view = self.members.get();
        let (generation, observed) = self.observed.get();
        let is_recent = now.saturating_since(observed) < Self::OBSERVE;
        if is_recent && generation == Some(view.generation()) {
            return;
        }
        self.observed.set((Some(view.generation()), now));
        let members = view.members().iter().map(|member| &**member);
        self.granter.borrow_mut().observe(members, now);
    }

    pub(crate) fn intervals(&self) -> Intervals {
        let members = self.granter.borrow().electorate();
        self.settings.intervals(members)
    }

    /// The next report and the address of its receiver, if it is due.
    pub(crate) fn report(&self, now: Uptime) -> Option<(Sent, units::Address)> {
        let view = self.members.get();
        let ranked = self.candidates.borrow_mut().of(&view);
        let nodes: Vec<_> = ranked.iter().map(|member| member.node.clone()).collect();
        let members = self.granter.borrow().electorate();
        let intervals = self.settings.intervals(members);
        let votes = (self.joined)();
        let mut wallet = self.wallet.borrow_mut();
        let sent = wallet.report(&nodes, members, votes, intervals, now)?;
        let Some(member) = view.member(&sent.to) else {
            wallet.fail(sent.report.sequence, intervals, now);
            return None;
        };
        self.count(|counts| counts.reports += 1);
        Some((sent, member.peer_address))
    }

    /// Time of the next report; `None` while none can be due.
    pub(crate) fn next(&self) -> Option<Uptime> {
        self.wallet.borrow().next()
    }

    pub(crate) fn is_own(&self, node: &Node) -> bool {
        *node == self.node
    }

    /// Answers a report.
    pub(crate) fn grant(&self, from: &Node, report: &wire::Report) -> wire::Reply {
        let now = Uptime::now();
        self.refresh(now);
        self.count(|counts| counts.received += 1);
        let mut reply = self.granter.borrow_mut().receive(from, report, now);
        if reply.term == 0 {
            let wallet = self.wallet.borrow();
            let granter = wallet.granter().filter(|granter| **granter != self.node);
            reply.ask = granter.map(Node::to_string).unwrap_or_default();
        }
        self.log_granter();
        reply
    }

    /// Answers a report of another node.
    pub(crate) fn serve(&self, request: peer::Incoming) {
        match wire::Report::decode(request.payload.as_slice()) {
            Ok(report) => {
                let reply = self.grant(&request.from, &report);
                request.answer.send(reply.encode_to_vec());
            }
            Err(_) => {
                self.count(|counts| counts.malformed += 1);
                request.answer.invalid();
            }
        }
    }

    /// Applies the answer of another node to report `sequence`.
    pub(crate) fn receive_reply(&self, sequence: u64, answer: Result<Vec<u8>, peer::Error>) {
        let reply = answer.ok().map(|bytes| wire::Reply::decode(&bytes[..]));
        match reply {
            Some(Ok(reply)) => self.apply(sequence, Some(&reply)),
            Some(Err(_)) => {
                self.count(|counts| counts.malformed += 1);
                self.apply(sequence, None);
            }
            None => self.apply(sequence, None),
        }
    }

    /// Applies the reply to report `sequence`, or that there is none.
    pub(crate) fn apply(&self, sequence: u64, reply: Option<&wire::Reply>) {
        let now = Uptime::now();
        let intervals = self.intervals();
        let mut wallet = self.wallet.borrow_mut();
        match reply {
            Some(reply) => wallet.apply(sequence, reply, intervals, now),
            None => {
                self.count(|counts| counts.failed += 1);
                wallet.fail(sequence, intervals, now);
            }
        }
        drop(wallet);
        self.log_granter();
        for waiting in self.waiting.take() {
            // A request that waits no longer has dropped its end.
            let _ = waiting.send(());
        }
        self.ring();
    }

    pub(crate) fn arrive(&self, workspace: u64, now: Uptime) {
        self.wallet.borrow_mut().arrive(workspace, now);
    }

    pub(crate) fn take(&self, workspace: u64, now: Uptime) -> Take {
        self.wallet.borrow_mut().take(workspace, now)
    }

    pub(crate) fn give_back(&self, workspace: u64, taken: u64) {
        let mut wallet = self.wallet.borrow_mut();
        if wallet.give_back(workspace, taken, Uptime::now()) {
            self.count(|counts| counts.given_back += 1);
        }
    }

    /// Adds a request that waits.
    pub(crate) fn wait(&self, workspace: u64) {
        let intervals = self.intervals();
        self.wallet.borrow_mut().wait(workspace, intervals);
        self.ring();
    }

    /// Asks again for a request that waits.
    pub(crate) fn ask(&self, workspace: u64) {
        self.end_wait(workspace);
        self.wait(workspace);
    }

    pub(crate) fn end_wait(&self, workspace: u64) {
        self.wallet.borrow_mut().end_wait(workspace);
    }

    /// Waits for the next reply.
    pub(crate) async fn changed(&self) {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push(sender);
        let _ = receiver.await;
    }

    /// Waits until a request asks for a report.
    pub(crate) async fn rung(&self) {
        let (sender, receiver) = oneshot::channel();
        self.bell.replace(Some(sender));
        let _ = receiver.await;
    }

    /// Refusal of a request that has waited for as long as it may.
    pub(crate) fn late(&self) -> Refusal {
        match self.wallet.borrow().granter() {
            Some(_) => Refusal::Exceeded(self.intervals().search()),
            None => Refusal::Unavailable,
        }
    }

    /// Counts and logs what became of a request.
    pub(crate) fn count_take(&self, workspace: u64, refusal: Option<&Refusal>) {
        let mut wallet = self.wallet.borrow_mut();
        let Some(account) = wallet.account(workspace) else {
            return;
        };
        match refusal {
            None => self.count(|counts| counts.taken += 1),
            Some(Refusal::Unavailable) => self.count(|counts| counts.unavailable += 1),
            Some(Refusal::Exceeded(_)) => self.count(|counts| counts.refused += 1),
        }
        if let Some(refusal) = refusal {
            Self::log_refusal(account, *refusal, Uptime::now());
        }
    }

    pub(crate) fn counts(&self) -> Counts {
        let granter = self.granter.borrow();
        Counts {
            granted: granter.granted(),
            terms: granter.terms(),
            ..self.counts.get()
        }
    }

    pub(crate) fn dump(&self) -> Dump {
        let now = Uptime::now();
        let wallet = self.wallet.borrow();
        let granter = self.granter.borrow();
        let entries = wallet.accounts().map(|account| {
            let mut buckets = granter.buckets();
            let bucket = buckets.find(|one| one.limit().workspace == account.workspace);
            let is_near =
                bucket.is_some_and(|bucket| bucket.level() < Self::NEAR * bucket.limit().capacity);
            let refusing = account.exhausted > now;
            let entry = Entry {
                workspace: account.name.clone(),
                tokens: account.tokens,
                level: bucket.map(crate::Bucket::level),
                leased: bucket.map(crate::Bucket::leased),
                refusing,
            };
            (is_near || refusing, entry)
        });
        let near = entries.filter(|(is_near, _)| *is_near);
        Dump {
            granter: wallet.granter().cloned(),
            granting: granter.is_granting(),
            electorate: granter.electorate(),
            counts: self.counts(),
            near: near.map(|(_, entry)| entry).take(Self::DUMPED).collect(),
        }
    }

    fn log_refusal(account: &mut Account, refusal: Refusal, now: Uptime) {
        account.refused += 1;
        let is_recent = |logged: Uptime| now.saturating_since(logged) < Self::LOG_PAUSE;
        if account.logged.is_some_and(is_recent) {
            return;
        }
        account.logged = Some(now);
        let count = std::mem::take(&mut account.refused);
        log::info!(event = "quota-exceeded", workspace = account.name.as_str(), count = count,
            granter_known = refusal != Refusal::Unavailable;
            "requests of a workspace are refused for want of tokens");
    }

    /// Logs a change of the granter, and the begin and end of a term.
    fn log_granter(&self) {
        let granter = self.wallet.borrow().granter().cloned();
        let granting = self.granter.borrow().is_granting();
        let mut logged = self.logged.borrow_mut();
        if *logged == (granter.clone(), granting) {
            return;
        }
        let name = granter.as_ref().map(Node::as_str);
        let terms = self.granter.borrow().terms();
        log::info!(event = "quota-granter", granter = name, granting = granting, terms = terms;
            "the node that grants tokens of workspaces has changed");
        *logged = (granter, granting);
    }

    fn count(&self, add: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        add(&mut counts);
        self.counts.set(counts);
    }

    fn ring(&self) {
        if let Some(bell) = self.bell.take() {
            let _ = bell.send(());
        }
    }
}
