//! The node that grants tokens to wallets, while it has the votes of a majority.

use std::time;

use schema::quota as wire;
use units::{Node, Uptime};

use crate::holder::{Holder, Lease};
use crate::holders::Holders;
use crate::term::Term;
use crate::{Bucket, Electorate, Limit, Settings};

/// Grants tokens to wallets, while it has the votes of more than half of the electorate.
#[derive(Debug)]
pub struct Granter {
    /// Random number of this process.
    id: u64,
    settings: Settings,
    /// Limits of the configuration, sorted by workspace.
    limits: Vec<Limit>,
    electorate: Electorate,
    holders: Holders,
    term: Option<Term>,
    terms: u64,
    granted: u64,
}

impl Granter {
    /// Times in the life of a lease that a wallet asks for a workspace from which too much is asked.
    const ROOMS: u32 = 6;

    /// A granter of the process with the random number `id`.
    #[must_use]
    pub fn new(id: u64, settings: Settings) -> Self {
        Self {
            id,
            settings,
            limits: Vec::new(),
            electorate: Electorate::default(),
            holders: Holders::default(),
            term: None,
            terms: 0,
            granted: 0,
        }
    }

    /// Whether this process grants, as of the last message.
    #[must_use]
    pub fn is_granting(&self) -> bool {
        self.term.is_some()
    }

    /// Terms that have begun.
    #[must_use]
    pub fn terms(&self) -> u64 {
        self.terms
    }

    /// Tokens granted.
    #[must_use]
    pub fn granted(&self) -> u64 {
        self.granted
    }

    /// Buckets of the current term.
    pub fn buckets(&self) -> impl Iterator<Item = &Bucket> {
        let buckets = self.term.iter().flat_map(|term| &term.buckets);
        buckets.map(|kept| &kept.bucket)
    }

    /// Records the members of a view.
    pub fn observe<'m>(
        &mut self,
        members: impl Iterator<Item = &'m membership::Member>,
        now: Uptime,
    ) {
        self.electorate.update(members, &self.settings, now);
    }

    /// Number of members whose votes count, as far as this node knows.
    #[must_use]
    pub fn electorate(&self) -> usize {
        self.electorate.len()
    }

    /// Applies the limits of a configuration, sorted by workspace.
    pub fn configure(&mut self, limits: Vec<Limit>, now: Uptime) {
        let window = self.settings.window.0;
        if let Some(term) = &mut self.term {
            term.configure(&limits, window, now);
        }
        self.limits = limits;
    }

    /// Ends the term if the majority is lost, and begins one if there is a majority.
    pub fn settle(&mut self, now: Uptime) {
        let (votes, members) = self.holders.votes(now);
        let electorate = self.electorate.len().max(members as usize);
        let is_majority = votes * 2 > electorate;
        match (&self.term, is_majority) {
            (None, true) => {
                self.term = Some(Term::new(&self.limits, now));
                self.terms += 1;
            }
            (Some(_), false) => {
                self.term = None;
                self.holders.forget_leases();
            }
            _ => {}
        }
        for holder in self.holders.take_lapsed(now) {
            self.drop_leases(&holder, now);
        }
    }

    /// Counts the vote of a report and answers what it wants.
    #[must_use]
    pub fn receive(&mut self, from: &Node, report: &wire::Report, now: Uptime) -> wire::Reply {
        // Votes only lapse between two messages, so that a majority now was one all the time.
        self.settle(now);
        let mut holder = self.holders.take(from, report.wallet);
        if holder.wallet != report.wallet {
            self.drop_leases(&holder, now);
            let vote = holder.vote;
            holder = Holder::new(from.clone(), report.wallet);
            // The process before may be gone, but it has not voted for another node since.
            holder.vote = vote;
        }
        let mut reply = self.reply();
        if report.sequence > holder.sequence {
            holder.sequence = report.sequence;
            holder.members = report.members;
            self.count_vote(&mut holder, report);
            self.holders.put(holder);
            self.settle(now);
            let holder = self.holders.take(from, report.wallet);
            reply = self.reply();
            let holder = self.grant(holder, report, &mut reply, now);
            self.holders.put(holder);
        } else {
            reply.term = 0;
            self.holders.put(holder);
        }
        reply.stamp = micros(now);
        reply
    }

    fn reply(&self) -> wire::Reply {
        wire::Reply {
            granter: self.id,
            term: self.term.as_ref().map_or(0, |term| term.id),
            ..wire::Reply::default()
        }
    }

    fn count_vote(&self, holder: &mut Holder, report: &wire::Report) {
        if report.granter == self.id {
            let stamp = Uptime(time::Duration::from_micros(report.stamp));
            holder.vote = holder.vote.max(stamp + ttl(report));
        }
    }

    fn grant(
        &mut self,
        mut holder: Holder,
        report: &wire::Report,
        reply: &mut wire::Reply,
        now: Uptime,
    ) -> Holder {
        let Some(term) = &mut self.term else {
            holder.leases.clear();
            return holder;
        };
        let is_lapsed = holder.lapse <= now;
        let is_of_term = report.term == term.id && !is_lapsed;
        let mut leases: Vec<Lease> = Vec::with_capacity(report.wants.len());
        for want in &report.wants {
            let place = leases.binary_search_by_key(&want.workspace, |lease| lease.workspace);
            // A workspace that stands twice in a report counts once.
            let (Err(place), Some(kept)) = (place, term.find(want.workspace)) else {
                continue;
            };
            let before = holder.lease(want.workspace).copied();
            let before = before.unwrap_or(Lease::none(want.workspace));
            let (lease, granted) = kept.bucket.renew(before, want, is_of_term, now);
            self.granted += u64::from(granted);
            let refuses = want.waiting > granted && kept.bucket.is_overdrawn();
            let room = ttl(report) / Self::ROOMS;
            reply.grants.push(wire::Grant {
                workspace: want.workspace,
                tokens: lease.tokens,
                room_ms: if refuses { whole_millis(room) } else { 0 },
            });
            leases.insert(place, lease);
        }
        for lease in &holder.leases {
            let is_reported = |one: &Lease| one.workspace.cmp(&lease.workspace);
            if leases.binary_search_by(is_reported).is_err() {
                term.spend(lease, now);
            }
        }
        holder.leases = leases;
        holder.lapse = now + ttl(report);
        holder
    }

    /// Counts all tokens of a wallet as used.
    fn drop_leases(&mut self, holder: &Holder, now: Uptime) {
        if let Some(term) = &mut self.term {
            for lease in &holder.leases {
                term.spend(lease, now);
            }
        }
    }
}

impl Lease {
    fn none(workspace: u64) -> Self {
        Self {
            workspace,
            tokens: 0,
            unmet: 0,
        }
    }
}

impl Bucket {
    /// Settles the lease of one wallet by what it reports, and leases what it wants.
    ///
    /// Returns the new lease, and how many of its tokens are new.
    fn renew(
        &mut self,
        before: Lease,
        want: &wire::Want,
        is_of_term: bool,
        now: Uptime,
    ) -> (Lease, u32) {
        self.refill(now);
        self.demand(want.arrived, now);
        let (held, returned) = match is_of_term {
            true => (want.held, want.returned),
            false => (0, 0),
        };
        let held = held.min(before.tokens);
        let returned = returned.min(before.tokens - held);
        self.spend(before.tokens - held - returned);
        self.take_back(returned);
        let wanted = want.waiting.saturating_add(want.ahead);
        self.replace_unmet(before.unmet, wanted);
        let granted = self.lease(want.waiting, want.ahead);
        let unmet = wanted - granted;
        self.replace_unmet(wanted, unmet);
        let lease = Lease {
            workspace: before.workspace,
            tokens: held + granted,
            unmet,
        };
        (lease, granted)
    }
}

/// Time for which the tokens and the vote of the sender hold.
fn ttl(report: &wire::Report) -> time::Duration {
    time::Duration::from_millis(report.ttl_ms.into())
}

/// Clock of this process as a stamp.
fn micros(now: Uptime) -> u64 {
    u64::try_from(now.0.as_micros()).unwrap_or(u64::MAX)
}

fn whole_millis(duration: time::Duration) -> u32 {
    u32::try_from(duration.as_millis())
        .unwrap_or(u32::MAX)
        .max(1)
}
