//! Handling of requests from other nodes.

use std::rc;
use std::time;

use compio::runtime;
use prost::Message;
use schema::membership as wire;
use wire::request::Kind;

use crate::shared::{Shared, jitter};
use crate::table::Propagation;
use crate::{Update, compare, digest};

impl<S: platform::Store, L: peer::Link> Shared<S, L> {
    /// Maximum number of concurrent probes on behalf of other nodes.
    const ASSISTED_PROBES_LIMIT: usize = 32;
    /// Size of one page of the view.
    const PAGE_BYTES: usize = 64 * 1024;
    /// Time after the last page request at which a joining node frees its place.
    const JOINER_TIMEOUT: time::Duration = time::Duration::from_secs(1);
    /// Average retry delay given to a rejected joining node.
    const JOINER_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);
    /// Retry delay given to a node whose probe request is rejected.
    const PROBE_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

    /// Handles requests until the service stops.
    pub(crate) async fn run_requests(
        self: rc::Rc<Self>,
        mut inbox: kernel::Inbox<peer::Incoming>,
        stop: kernel::Stop,
    ) {
        while let Some(Some(incoming)) = stop.guard(inbox.receive()).await {
            self.serve(incoming);
        }
    }

    fn serve(self: &rc::Rc<Self>, incoming: peer::Incoming) {
        let request = wire::Request::decode(incoming.payload.as_slice());
        let kind = request.ok().and_then(|request| request.kind);
        // A node that sends requests is alive, even if the last probe failed.
        self.table.borrow_mut().set_doubted(&incoming.from, false);
        let answer = incoming.answer;
        match kind {
            Some(Kind::Ping(ping)) => self.serve_ping(&incoming.from, &ping, answer),
            Some(Kind::Probe(probe)) => self.serve_probe(&probe, answer),
            Some(Kind::Gossip(gossip)) => {
                self.apply_updates(&gossip.updates, Propagation::Gossip);
                answer.send(Vec::new());
            }
            Some(Kind::Compare(compare)) => {
                let table = self.table.borrow();
                let centres = table.digest().differing(&compare.centres);
                answer.send(wire::Compared { centres }.encode_to_vec());
            }
            Some(Kind::Exchange(exchange)) => {
                let exchanged = compare::answer_exchange(&self.table.borrow(), &exchange);
                answer.send(exchanged.encode_to_vec());
            }
            Some(Kind::Pull(pull)) => self.serve_pull(&incoming.from, &pull, answer),
            None => {
                self.counter.update(|counts| counts.malformed += 1);
                answer.invalid();
            }
        }
    }

    fn serve_ping(&self, from: &units::Node, ping: &wire::Ping, answer: peer::Answer) {
        if ping.target != self.identity.node.as_str() {
            answer.invalid();
            return;
        }
        let corrections = self.apply_updates(&ping.updates, Propagation::Gossip);
        let mut updates: Vec<_> = corrections.iter().map(Update::encode).collect();
        updates.extend(self.refutable_record(from));
        updates.extend(self.next_updates(self.settings.piggyback_limit));
        self.merge_outages(&ping.outages);
        let outages = self.outages_for(from);
        answer.send(wire::Pong { updates, outages }.encode_to_vec());
    }

    fn serve_probe(self: &rc::Rc<Self>, probe: &wire::Probe, answer: peer::Answer) {
        let (Ok(node), Ok(address)) = (probe.target.parse(), probe.address.parse()) else {
            answer.invalid();
            return;
        };
        if self.assisted_probes.get() >= Self::ASSISTED_PROBES_LIMIT {
            answer.busy(Self::PROBE_RETRY_DELAY);
            return;
        }
        self.assisted_probes.set(self.assisted_probes.get() + 1);
        let shared = self.clone();
        let task = async move {
            let timeout = shared.settings.probe_timeout.0;
            let reached = shared.ping(&node, address, timeout).await;
            shared.assisted_probes.set(shared.assisted_probes.get() - 1);
            answer.send(wire::Probed { reached }.encode_to_vec());
        };
        runtime::spawn(task).detach();
    }

    fn serve_pull(&self, from: &units::Node, pull: &wire::Pull, answer: peer::Answer) {
        if !self.admit_joiner(from) {
            self.counter.update(|counts| counts.refused_joiners += 1);
            answer.busy(jitter(Self::JOINER_RETRY_DELAY));
            return;
        }
        self.counter.update(|counts| counts.pages += 1);
        let page = self.page(from, &pull.after);
        if !page.more {
            self.joiners.borrow_mut().retain(|(node, _)| node != from);
        }
        answer.send(page.encode_to_vec());
    }

    /// Whether `from` is or becomes one of the joining nodes served at the same time.
    fn admit_joiner(&self, from: &units::Node) -> bool {
        let now = time::Instant::now();
        let mut joiners = self.joiners.borrow_mut();
        joiners.retain(|(_, last)| now.saturating_duration_since(*last) < Self::JOINER_TIMEOUT);
        if let Some(joiner) = joiners.iter_mut().find(|(node, _)| node == from) {
            joiner.1 = now;
            return true;
        }
        if joiners.len() >= self.settings.joiners {
            return false;
        }
        joiners.push((from.clone(), now));
        true
    }

    /// The page of running members after `after`; the first page also contains the record of the joining
    /// node in any state, so that the node picks a higher incarnation.
    fn page(&self, from: &units::Node, after: &str) -> wire::Page {
        let table = self.table.borrow();
        let mut page = wire::Page::default();
        if after.is_empty() {
            let previous = table.record(from).map(|record| record.member.clone());
            page.updates
                .extend(previous.map(|previous| Update::of(previous).encode()));
        }
        let mut bytes = 0;
        let records = table.records();
        let start = records.partition_point(|record| record.member.node.as_str() <= after);
        for record in &records[start..] {
            if bytes >= Self::PAGE_BYTES {
                page.more = true;
                break;
            }
            if digest::is_running(&record.member) {
                let update = Update::of(record.member.clone()).encode();
                bytes += update.encoded_len();
                page.updates.push(update);
            }
        }
        page
    }
}
