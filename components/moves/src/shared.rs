//! State that the tasks of the service share.

use std::cell;
use std::rc;
use std::time;

use compact_str::CompactString;
use membership::Member;
use platform::Revision;
use prost::Message;
use schema::moves as wire;

use crate::gather::Gatherer;
use crate::index::Index;
use crate::run::Run;
use crate::tally::Tally;
use crate::{Alarm, Catalogue, Id, Merged, Parts, Record, Recorder, gossip, shares};

/// Name of the service, in the kernel and for requests between nodes.
pub const NAME: &str = "moves";

/// State that the tasks of the service share.
pub(crate) struct Shared<S, L> {
    pub(crate) parts: Parts<S, L>,
    pub(crate) catalogue: cell::RefCell<Catalogue>,
    pub(crate) recorder: Recorder,
    pub(crate) gatherer: cell::RefCell<Gatherer>,
    /// Moves that this node runs, sorted by id.
    pub(crate) runs: cell::RefCell<Vec<Run>>,
    pub(crate) tally: Tally,
    index: cell::RefCell<Index>,
}

impl<S: platform::Store, L: peer::Link> Shared<S, L> {
    pub(crate) fn new(parts: Parts<S, L>) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            parts,
            catalogue: cell::RefCell::default(),
            recorder: Recorder::default(),
            gatherer: cell::RefCell::default(),
            runs: cell::RefCell::default(),
            tally: Tally::default(),
            index: cell::RefCell::default(),
        })
    }

    /// Takes a record in, and tells other nodes when it is news.
    pub(crate) fn learn(self: &rc::Rc<Self>, revision: Revision, record: Record) -> Merged {
        let stored = wire::Stored {
            revision: revision.0,
            record: Some(record.encode()),
        };
        let merged = self.take_in(revision, record);
        if merged == Merged::News {
            gossip::spread(
                self,
                wire::Spread {
                    records: vec![stored],
                    alarms: Vec::new(),
                },
            );
        }
        merged
    }

    /// Takes a record in that other nodes know already.
    pub(crate) fn take_in(&self, revision: Revision, record: Record) -> Merged {
        let id = record.id.clone();
        let merged = self.catalogue.borrow_mut().merge(revision, record);
        match merged {
            Merged::News => self.apply_withheld(),
            Merged::Violation => {
                self.tally.second_ends.add(1);
                log::error!(id:% = id; "invariant violated: the end of a move changed");
            }
            Merged::Detail | Merged::Known => {}
        }
        merged
    }

    /// Takes an alarm in: the version gets no more traffic from this node, and others are told.
    pub(crate) fn raise(self: &rc::Rc<Self>, alarm: Alarm) -> bool {
        let wire = alarm.encode();
        let is_new = self.catalogue.borrow_mut().raise(alarm);
        if is_new {
            self.apply_withheld();
            log::warn!(id = wire.r#move, reason = wire.reason, raised_by = wire.node; "version withheld");
            gossip::spread(
                self,
                wire::Spread {
                    records: Vec::new(),
                    alarms: vec![wire],
                },
            );
        }
        is_new
    }

    /// Raises an alarm of this node's own.
    pub(crate) fn raise_own(self: &rc::Rc<Self>, id: &Id, reason: &CompactString) {
        let record = self.record(id);
        let Some(record) = record.filter(|record| !record.is_ended()) else {
            return;
        };
        let is_new = self.raise(Alarm {
            id: id.clone(),
            version: record.to.clone(),
            reason: reason.clone(),
            node: self.parts.node.as_str().into(),
            raised: units::Wall::now(),
        });
        if is_new {
            self.tally.alarms.add(1);
        }
    }

    /// The record of the move called `id`.
    pub(crate) fn record(&self, id: &Id) -> Option<rc::Rc<Record>> {
        let catalogue = self.catalogue.borrow();
        catalogue.get(id).map(|entry| entry.record.clone())
    }

    /// Why the new version of the move called `id` is withheld, if it is.
    pub(crate) fn alarm(&self, id: &Id) -> Option<CompactString> {
        let catalogue = self.catalogue.borrow();
        catalogue.alarm(id).map(|alarm| alarm.reason.clone())
    }

    /// Brings the list of withheld versions in line with the catalogue.
    fn apply_withheld(&self) {
        let wanted = self.catalogue.borrow().withheld();
        let withheld = &self.parts.withheld;
        for (service, version) in withheld.list() {
            let pair = (service, version);
            if wanted.binary_search(&pair).is_err() {
                withheld.remove(&pair.0, &pair.1);
            }
        }
        for (service, version) in wanted {
            withheld.add(&service, &version);
        }
    }

    /// Share that `record`'s new version has, as part of what both versions have, by the
    /// configuration that this node holds.
    pub(crate) fn share(&self, record: &Record) -> units::Share {
        let snapshot = self.parts.holder.get();
        let Some(service) = snapshot.service(record.service()) else {
            return units::Share::NONE;
        };
        let weight = service.weight(&record.to);
        let parts = weight.map_or(0, |weight| weight.share.parts());
        let both = shares::moved(&service.weights, &record.from, &record.to).parts();
        let whole = units::Share::WHOLE.parts();
        units::Share::from_parts(parts * whole / both.max(1)).unwrap_or_default()
    }

    /// What follows from the members.
    pub(crate) fn index(&self) -> cell::Ref<'_, Index> {
        let view = self.parts.members.get();
        let now = time::Instant::now();
        self.index
            .borrow_mut()
            .refresh(&view, &self.parts.node, now);
        self.index.borrow()
    }

    /// Address for control messages of the running member called `node`.
    pub(crate) fn address(&self, node: &units::Node) -> Option<units::Address> {
        let view = self.parts.members.get();
        let member = view.member(node)?;
        is_running(member).then_some(member.peer_address)
    }

    /// Sends `request` to the moves service at `to`; `None` without a proper answer in time.
    pub(crate) async fn call(
        &self,
        to: units::Address,
        kind: wire::request::Kind,
    ) -> Option<wire::reply::Kind> {
        const TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
        let payload = wire::Request { kind: Some(kind) }.encode_to_vec();
        self.tally.messages.add(1);
        self.tally.bytes.add(payload.len() as u64);
        let answer = self.parts.link.call(to, NAME, payload, TIMEOUT).await;
        let reply = wire::Reply::decode(answer.ok()?.as_slice()).ok()?;
        reply.kind
    }
}

/// Whether a member is not known to have failed or left.
pub(crate) fn is_running(member: &Member) -> bool {
    matches!(
        member.state,
        membership::State::Alive | membership::State::Suspect
    )
}
