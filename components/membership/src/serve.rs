//! Answers requests of other nodes.

use std::rc;
use std::time;

use compio::runtime;
use prost::Message;
use schema::membership as wire;
use wire::request::Kind;

use crate::shared::{Shared, jitter};
use crate::table::Way;
use crate::{Update, compare, digest};

impl<S: platform::Store, L: peer::Link> Shared<S, L> {
    /// Probes that run for other nodes at a time.
    const ASSIST_LIMIT: usize = 32;
    /// Size of one page of the view.
    const PAGE_BYTES: usize = 64 * 1024;
    /// A joining node that asks for no page for so long is not counted any more.
    const JOINER_TIMEOUT: time::Duration = time::Duration::from_secs(1);
    /// Wait that a joining node is told, on average.
    const JOINER_WAIT: time::Duration = time::Duration::from_millis(500);
    /// Wait that a node is told which asks for too many probes.
    const ASSIST_WAIT: time::Duration = time::Duration::from_millis(500);

    /// Answers requests until the service stops.
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
        // A node that sends requests is there, whatever became of the last probe.
        self.table.borrow_mut().doubt(&incoming.from, false);
        let answer = incoming.answer;
        match kind {
            Some(Kind::Ping(ping)) => self.serve_ping(&incoming.from, &ping, answer),
            Some(Kind::Probe(probe)) => self.serve_probe(&probe, answer),
            Some(Kind::Gossip(gossip)) => {
                self.learn(&gossip.updates, Way::Gossip);
                answer.send(Vec::new());
            }
            Some(Kind::Compare(compare)) => {
                let table = self.table.borrow();
                let centres = table.digest().differing(&compare.centres);
                answer.send(wire::Compared { centres }.encode_to_vec());
            }
            Some(Kind::Exchange(exchange)) => {
                let exchanged = compare::exchange(&self.table.borrow(), &exchange);
                answer.send(exchanged.encode_to_vec());
            }
            Some(Kind::Pull(pull)) => self.serve_pull(&incoming.from, &pull, answer),
            None => {
                self.counter.add(|counts| counts.malformed += 1);
                answer.invalid();
            }
        }
    }

    fn serve_ping(&self, from: &units::Node, ping: &wire::Ping, answer: peer::Answer) {
        if ping.target != self.identity.node.as_str() {
            answer.invalid();
            return;
        }
        let corrections = self.learn(&ping.updates, Way::Gossip);
        let mut updates: Vec<_> = corrections.iter().map(Update::encode).collect();
        updates.extend(self.bad_news(from));
        updates.extend(self.take_news(self.settings.piggyback_limit));
        self.learn_outages(&ping.outages);
        let outages = self.tell_outages(from);
        answer.send(wire::Pong { updates, outages }.encode_to_vec());
    }

    fn serve_probe(self: &rc::Rc<Self>, probe: &wire::Probe, answer: peer::Answer) {
        let (Ok(node), Ok(address)) = (probe.target.parse(), probe.address.parse()) else {
            answer.invalid();
            return;
        };
        if self.assisting.get() >= Self::ASSIST_LIMIT {
            answer.busy(Self::ASSIST_WAIT);
            return;
        }
        self.assisting.set(self.assisting.get() + 1);
        let shared = self.clone();
        let work = async move {
            let timeout = shared.settings.probe_timeout.0;
            let reached = shared.ping(&node, address, timeout).await;
            shared.assisting.set(shared.assisting.get() - 1);
            answer.send(wire::Probed { reached }.encode_to_vec());
        };
        runtime::spawn(work).detach();
    }

    fn serve_pull(&self, from: &units::Node, pull: &wire::Pull, answer: peer::Answer) {
        if !self.admit_joiner(from) {
            self.counter.add(|counts| counts.refused_joiners += 1);
            answer.busy(jitter(Self::JOINER_WAIT));
            return;
        }
        self.counter.add(|counts| counts.pages += 1);
        let page = self.page(from, &pull.after);
        if !page.more {
            self.joiners.borrow_mut().retain(|(node, _)| node != from);
        }
        answer.send(page.encode_to_vec());
    }

    /// Whether `from` is among the few joining nodes that are served at a time.
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

    /// The page of running members that follows `after`; the first names the record of the joining
    /// node too, whatever its state, so that it takes a higher incarnation.
    fn page(&self, from: &units::Node, after: &str) -> wire::Page {
        let table = self.table.borrow();
        let mut page = wire::Page::default();
        if after.is_empty() {
            let old = table.record(from).map(|record| record.member.clone());
            page.updates.extend(old.map(|old| Update::of(old).encode()));
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
