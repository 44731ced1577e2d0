//! Tokens that an ingress may use, and what it reports to the granter.

use std::time;

use schema::quota as wire;
use units::{Node, Uptime};

use crate::account::Account;
use crate::search::Search;
use crate::{Intervals, Limit};

/// Tokens that an ingress may use.
#[derive(Debug)]
pub struct Wallet {
    /// Random number of this process.
    id: u64,
    started: Uptime,
    /// Sorted by workspace.
    accounts: Vec<Account>,
    /// Term of the tokens; zero for none.
    term: u64,
    sequence: u64,
    in_flight: Option<InFlight>,
    /// Time of the next report.
    next: Uptime,
    sent: Uptime,
    search: Search,
}

/// A report without a reply yet.
#[derive(Debug)]
struct InFlight {
    to: Node,
    sent: Uptime,
    ttl: time::Duration,
}

/// A report and its receiver.
#[derive(Debug, Clone, PartialEq)]
pub struct Sent {
    /// Receiver.
    pub to: Node,
    /// Message.
    pub report: wire::Report,
}

/// Result of asking for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    /// The workspace has no limit.
    Unlimited,
    /// A token was taken; the number of the last report at that time.
    Taken(u64),
    /// The quota is used up; time until there is room.
    Exhausted(time::Duration),
    /// There is no token here at present.
    Missing,
}

impl Wallet {
    /// A wallet of the process with the random number `id`.
    #[must_use]
    pub fn new(id: u64, now: Uptime) -> Self {
        Self {
            id,
            started: now,
            accounts: Vec::new(),
            term: 0,
            sequence: 0,
            in_flight: None,
            next: now,
            sent: now,
            search: Search::default(),
        }
    }

    /// Applies the limits of a configuration, sorted by workspace.
    pub fn configure(&mut self, limits: &[Limit], now: Uptime) {
        self.accounts.retain(|account| {
            let place = limits.binary_search_by_key(&account.workspace, |limit| limit.workspace);
            place.is_ok()
        });
        for limit in limits {
            if let Err(index) = self.index(limit.workspace) {
                let account = Account::new(limit.workspace, limit.name.clone(), now);
                self.accounts.insert(index, account);
            }
        }
    }

    /// Whether any workspace has a limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Node that grants, if its last reply said so.
    #[must_use]
    pub fn granter(&self) -> Option<&Node> {
        self.search.granter.as_ref()
    }

    /// Time of the next report; `None` while one is in flight or no workspace has a limit.
    #[must_use]
    pub fn next(&self) -> Option<Uptime> {
        let is_idle = self.in_flight.is_none() && self.is_limited();
        is_idle.then_some(self.next)
    }

    /// Counts a request of a workspace.
    pub fn arrive(&mut self, workspace: u64, now: Uptime) {
        if let Some(account) = self.account(workspace) {
            account.arrive(now);
        }
    }

    /// Takes a token for a request.
    pub fn take(&mut self, workspace: u64, now: Uptime) -> Take {
        let sequence = self.sequence;
        let Some(account) = self.account(workspace) else {
            return Take::Unlimited;
        };
        if account.take(now) {
            return Take::Taken(sequence);
        }
        match account.exhausted.saturating_since(now) {
            time::Duration::ZERO => Take::Missing,
            room => Take::Exhausted(room),
        }
    }

    /// Gives a token back; without effect if a report was sent since it was taken, as that one counted
    /// it as used.
    ///
    /// Returns whether it had an effect.
    pub fn give_back(&mut self, workspace: u64, taken: u64, now: Uptime) -> bool {
        let is_open = taken == self.sequence;
        let account = self.account(workspace).filter(|_| is_open);
        account.map(|account| account.give_back(now)).is_some()
    }

    /// Adds a request that waits for a token, and asks for one as soon as `intervals` allow it.
    pub fn wait(&mut self, workspace: u64, intervals: Intervals) {
        let ask = self.sent + intervals.ask();
        if let Some(account) = self.account(workspace) {
            account.waiting += 1;
            // Without a granter the search has its own pace.
            if self.search.granter.is_some() {
                self.next = self.next.min(ask);
            }
        }
    }

    /// Removes a request that waited.
    pub fn end_wait(&mut self, workspace: u64) {
        if let Some(account) = self.account(workspace) {
            account.waiting = account.waiting.saturating_sub(1);
        }
    }

    /// Builds the next report if it is due and none is in flight.
    ///
    /// `candidates` are the first running members by rank, `members` the number that this node knows;
    /// `votes` tells whether that number is known at all.
    pub fn report(
        &mut self,
        candidates: &[Node],
        members: usize,
        votes: bool,
        intervals: Intervals,
        now: Uptime,
    ) -> Option<Sent> {
        if self.in_flight.is_some() || now < self.next || !self.is_limited() {
            return None;
        }
        let ttl = intervals.ttl();
        let to = self.search.choose(candidates, ttl, now)?;
        let is_new = now.saturating_since(self.started) < ttl;
        let may_vote = votes && !is_new;
        let vote = may_vote.then(|| self.search.vote(&to, candidates, ttl, now));
        let (granter, stamp) = vote.flatten().unwrap_or_default();
        let wants = self.accounts.iter_mut();
        let wants = wants.filter_map(|account| account.want(intervals.ahead(), now));
        let wants = wants.collect();
        self.sequence += 1;
        self.sent = now;
        self.next = now
            + match self.search.granter {
                Some(_) => intervals.period,
                None => intervals.search(),
            };
        self.in_flight = Some(InFlight {
            to: to.clone(),
            sent: now,
            ttl,
        });
        let report = wire::Report {
            wallet: self.id,
            sequence: self.sequence,
            granter,
            stamp,
            term: self.term,
            members: u32::try_from(members).unwrap_or(u32::MAX),
            wants,
            ttl_ms: u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX),
        };
        Some(Sent { to, report })
    }

    /// Applies the reply to report `sequence`; one to an earlier report has no effect.
    pub fn apply(&mut self, sequence: u64, reply: &wire::Reply, intervals: Intervals, now: Uptime) {
        let Some(in_flight) = self.in_flight.take_if(|_| sequence == self.sequence) else {
            return;
        };
        let ask = reply.ask.parse().ok();
        let (granter, stamp) = (reply.granter, reply.stamp);
        self.search.contact(&in_flight.to, granter, stamp);
        if reply.term == 0 {
            self.search.end_grants(&in_flight.to, ask, now);
            self.next = self.next.min(in_flight.sent + intervals.search());
            return;
        }
        if self.search.granter.is_none() {
            // Its stamp is known now, so that the vote can follow.
            self.next = self.next.min(in_flight.sent + intervals.search());
        }
        self.search.begin_grants(&in_flight.to);
        if self.term != reply.term {
            self.term = reply.term;
            for account in &mut self.accounts {
                account.tokens = 0;
            }
        }
        self.apply_grants(&reply.grants, in_flight.sent + in_flight.ttl, now);
    }

    /// Records that report `sequence` received no reply.
    pub fn fail(&mut self, sequence: u64, intervals: Intervals, now: Uptime) {
        let in_flight = self.in_flight.take_if(|_| sequence == self.sequence);
        if let Some(in_flight) = in_flight {
            self.search.fail(&in_flight.to, now + intervals.ttl() * 2);
            self.next = self.next.min(now + intervals.period / 4);
        }
    }

    /// Workspaces that have used their quota, with the tokens that are left here.
    pub(crate) fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.iter()
    }

    pub(crate) fn account(&mut self, workspace: u64) -> Option<&mut Account> {
        let index = self.index(workspace).ok()?;
        Some(&mut self.accounts[index])
    }

    fn apply_grants(&mut self, grants: &[wire::Grant], lapse: Uptime, now: Uptime) {
        for account in &mut self.accounts {
            let grant = grants
                .iter()
                .find(|grant| grant.workspace == account.workspace);
            let tokens = grant.map_or(0, |grant| grant.tokens);
            account.tokens = tokens.saturating_sub(account.used);
            account.lapse = lapse;
            let room = grant.map_or(0, |grant| grant.room_ms);
            account.exhausted = now + time::Duration::from_millis(room.into());
        }
    }

    fn index(&self, workspace: u64) -> Result<usize, usize> {
        self.accounts
            .binary_search_by_key(&workspace, |account| account.workspace)
    }
}
