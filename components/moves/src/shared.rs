//! State shared by the tasks of the service.

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

/// Name of the service in the kernel and in requests between nodes.
pub const NAME: &str = "moves";

/// State shared by the tasks of the service.
pub(crate) struct Shared<S, L> {
    pub(crate) parts: Parts<S, L>,
    pub(crate) catalogue: cell::RefCell<Catalogue>,
    pub(crate) recorder: Recorder,
    pub(crate) gatherer: cell::RefCell<Gatherer>,
    /// Moves run by this node, sorted by id.
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

    /// Merges a record, and spreads it to other nodes if it is news.
    pub(crate) fn merge_and_spread(
        self: &rc::Rc<Self>,
        revision: Revision,
        record: Record,
    ) -> Merged {
        let stored = wire::Stored {
            revision: revision.0,
            record: Some(record.encode()),
        };
        let merged = self.merge(revision, record);
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

    /// Merges a record that other nodes know already.
    pub(crate) fn merge(&self, revision: Revision, record: Record) -> Merged {
        let id = record.id.clone();
        let merged = self.catalogue.borrow_mut().merge(revision, record);
        match merged {
            Merged::News => self.update_withheld(),
            Merged::Violation => {
                self.tally.second_ends.add(1);
                log::error!(id:% = id; "invariant violated: the end of a move changed");
            }
            Merged::Detail | Merged::Known => {}
        }
        merged
    }

    /// Adds an alarm: withholds the version on this node and spreads the alarm to other nodes.
    pub(crate) fn add_alarm(self: &rc::Rc<Self>, alarm: Alarm) -> bool {
        let wire = alarm.encode();
        let is_new = self.catalogue.borrow_mut().add_alarm(alarm);
        if is_new {
            self.update_withheld();
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

    /// Raises an alarm on behalf of this node.
    pub(crate) fn raise_alarm(self: &rc::Rc<Self>, id: &Id, reason: &CompactString) {
        let record = self.record(id);
        let Some(record) = record.filter(|record| !record.is_ended()) else {
            return;
        };
        let is_new = self.add_alarm(Alarm {
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

    /// Record of the move with `id`.
    pub(crate) fn record(&self, id: &Id) -> Option<rc::Rc<Record>> {
        let catalogue = self.catalogue.borrow();
        catalogue.get(id).map(|entry| entry.record.clone())
    }

    /// Reason of the alarm for the move with `id`, if there is one.
    pub(crate) fn alarm(&self, id: &Id) -> Option<CompactString> {
        let catalogue = self.catalogue.borrow();
        catalogue.alarm(id).map(|alarm| alarm.reason.clone())
    }

    /// Updates the list of withheld versions from the catalogue.
    fn update_withheld(&self) {
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

    /// Share of the new version in the combined share of both versions of `record`, according to
    /// this node's configuration.
    pub(crate) fn new_version_share(&self, record: &Record) -> units::Share {
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

    /// Index of the members, refreshed when necessary.
    pub(crate) fn index(&self) -> cell::Ref<'_, Index> {
        let view = self.parts.members.get();
        let now = time::Instant::now();
        self.index
            .borrow_mut()
            .refresh(&view, &self.parts.node, now);
        self.index.borrow()
    }

    /// Address of `node` for control messages, if that member is running.
    pub(crate) fn address(&self, node: &units::Node) -> Option<units::Address> {
        let view = self.parts.members.get();
        let member = view.member(node)?;
        is_running(member).then_some(member.peer_address)
    }

    /// Sends a request of `kind` to the moves service at `to`; `None` without a valid answer in time.
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

/// Whether a member is alive or suspect, rather than known to have failed or left.
pub(crate) fn is_running(member: &Member) -> bool {
    matches!(
        member.state,
        membership::State::Alive | membership::State::Suspect
    )
}
