//! Probes members in turn and suspects those that do not answer.

use std::rc;
use std::time;

use futures_util::stream::{FuturesUnordered, StreamExt};
use rand::seq::SliceRandom;
use schema::membership as wire;
use wire::request::Kind;

use crate::digest::is_running;
use crate::shared::{Shared, jitter};
use crate::table::Propagation;
use crate::{Member, State, Update};

/// Result of the indirect probes of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// The member answered a helper or the repeated ping of this node.
    Reached,
    /// At least one helper answered, and none of them reached the member.
    Unreached,
    /// No helper answered: this node itself may be disconnected.
    None,
}

impl<S: platform::Store, L: peer::Link> Shared<S, L> {
    /// Every n-th probe goes to a member that was declared dead, so that network partitions heal.
    const DEAD_PROBE_INTERVAL: u64 = 10;

    /// Probes one member per period, each member once per round in random order (Das et al., SWIM, 2002).
    pub(crate) async fn run_probes(self: rc::Rc<Self>, stop: kernel::Stop) {
        let mut round: Vec<units::Node> = Vec::new();
        let mut wait = jitter(self.settings.probe_period.0);
        while stop.sleep(wait).await {
            let started = time::Instant::now();
            if let Some(member) = self.next_target(&mut round) {
                stop.guard(self.probe(&member)).await;
            }
            let period = self.settings.probe_period.0 * self.health.get().factor();
            wait = period.saturating_sub(started.elapsed());
        }
    }

    fn next_target(&self, round: &mut Vec<units::Node>) -> Option<rc::Rc<Member>> {
        let probes = self.counter.get().probes;
        self.counter.update(|counts| counts.probes += 1);
        if probes % Self::DEAD_PROBE_INTERVAL == Self::DEAD_PROBE_INTERVAL - 1 {
            let dead = self.random_dead_member();
            if dead.is_some() {
                return dead;
            }
        }
        if round.is_empty() {
            let scope = self.scope();
            round.extend(scope.near().iter().map(|member| member.node.clone()));
            round.shuffle(&mut rand::rng());
        }
        while let Some(node) = round.pop() {
            let table = self.table.borrow();
            let record = table.record(&node);
            if let Some(record) = record.filter(|record| is_running(&record.member)) {
                return Some(record.member.clone());
            }
        }
        None
    }

    /// Returns a random member in state dead.
    fn random_dead_member(&self) -> Option<rc::Rc<Member>> {
        let table = self.table.borrow();
        let dead = table.records().iter().map(|record| &record.member);
        let dead = dead.filter(|member| member.state == State::Dead);
        rand::seq::IteratorRandom::choose(dead, &mut rand::rng()).cloned()
    }

    async fn probe(&self, member: &rc::Rc<Member>) {
        let pauses = self.counter.get().pauses;
        let timeout = self.probe_timeout();
        if self.ping(&member.node, member.peer_address, timeout).await {
            self.improve_health();
            self.table.borrow_mut().set_doubted(&member.node, false);
            return;
        }
        self.counter.update(|counts| counts.unanswered += 1);
        if !is_running(member) {
            return;
        }
        let evidence = self.probe_indirectly(member, timeout).await;
        let now = time::Instant::now();
        let paused = pauses != self.counter.get().pauses || now < self.grace_until.get();
        if !paused {
            self.apply_evidence(member, evidence, now);
        }
    }

    fn apply_evidence(&self, member: &Member, evidence: Evidence, now: time::Instant) {
        let mut table = self.table.borrow_mut();
        match evidence {
            Evidence::Reached => {
                drop(table);
                self.improve_health();
            }
            Evidence::Unreached => {
                self.counter.update(|counts| counts.accusations += 1);
                table.accuse(&member.node, &self.identity.node, now);
            }
            Evidence::None => {
                self.counter.update(|counts| counts.doubts += 1);
                table.set_doubted(&member.node, true);
                drop(table);
                self.worsen_health();
            }
        }
    }

    /// Pings `node` at `address` with piggybacked updates; includes its own record if that isn't alive, so
    /// that the node can refute it.
    pub(crate) async fn ping(
        &self,
        node: &units::Node,
        address: units::Address,
        timeout: time::Duration,
    ) -> bool {
        let mut updates: Vec<_> = self.refutable_record(node).into_iter().collect();
        updates.extend(self.next_updates(self.settings.piggyback_limit));
        let ping = wire::Ping {
            target: node.to_string(),
            updates,
            outages: self.outages_for(node),
        };
        let answer = self.request(address, Kind::Ping(ping), timeout).await;
        let answer: Result<wire::Pong, _> = answer;
        let Ok(pong) = answer else {
            return false;
        };
        self.apply_updates(&pong.updates, Propagation::Gossip);
        self.merge_outages(&pong.outages);
        true
    }

    /// Returns the record of `node` for it to refute, unless its state is alive.
    pub(crate) fn refutable_record(&self, node: &units::Node) -> Option<wire::Update> {
        let table = self.table.borrow();
        let record = table.record(node)?;
        let alive = record.member.state == State::Alive;
        (!alive).then(|| Update::of(record.member.clone()).encode())
    }

    /// Requests other members to ping `member`, and pings it once more over a new connection.
    async fn probe_indirectly(&self, member: &Member, timeout: time::Duration) -> Evidence {
        let scope = self.scope();
        let helpers = scope.sample(self.settings.indirect_probes, &member.node);
        if helpers.is_empty() {
            let reached = self.ping(&member.node, member.peer_address, timeout).await;
            return if reached {
                Evidence::Reached
            } else {
                Evidence::Unreached
            };
        }
        let mut replies: FuturesUnordered<_> = helpers
            .iter()
            .map(|helper| self.request_probe(helper, member, timeout))
            .collect();
        let direct = self.ping(&member.node, member.peer_address, timeout);
        let collect_replies = async {
            let mut evidence = Evidence::None;
            while let Some(reply) = replies.next().await {
                match reply {
                    Some(true) => return Evidence::Reached,
                    Some(false) => evidence = Evidence::Unreached,
                    None => {}
                }
            }
            evidence
        };
        let (direct, evidence) = futures_util::join!(direct, collect_replies);
        if direct { Evidence::Reached } else { evidence }
    }

    /// Returns whether `helper` reached `member`; `None` if the helper itself does not answer.
    async fn request_probe(
        &self,
        helper: &Member,
        member: &Member,
        timeout: time::Duration,
    ) -> Option<bool> {
        let probe = wire::Probe {
            target: member.node.to_string(),
            address: member.peer_address.to_string(),
        };
        // The helper may take up to its own probe timeout before it reports a failure.
        let limit = timeout + self.settings.probe_timeout.0;
        let kind = Kind::Probe(probe);
        let probed: Result<wire::Probed, _> = self.request(helper.peer_address, kind, limit).await;
        probed.ok().map(|probed| probed.reached)
    }
}
