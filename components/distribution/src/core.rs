//! State shared by the tasks of the service.

use std::cell;
use std::rc;
use std::time;

use membership::{Member, View};
use prost::Message;
use schema::distribution as wire;

use crate::overlay;
use crate::state::State;

/// Service name of the messages between nodes.
pub(crate) const SERVICE: &str = "distribution";

pub(crate) struct Core<S, L> {
    pub(crate) state: rc::Rc<State>,
    pub(crate) store: S,
    pub(crate) link: L,
    pub(crate) members: membership::Reader,
    /// Neighbours that get announcements of new versions instead of entries, sorted.
    lazy: cell::RefCell<Vec<units::Node>>,
    /// Neighbours to which a task is currently pushing, sorted.
    pub(crate) pushing: cell::RefCell<Vec<units::Node>>,
    /// Whether a task is fetching from another node.
    pub(crate) fetching: cell::Cell<bool>,
    /// Version of the newest known checkpoint in the platform.
    pub(crate) newest_checkpoint: cell::Cell<units::Version>,
    /// Compressed checkpoint served to joining nodes.
    pub(crate) joiner_checkpoint: cell::RefCell<Option<rc::Rc<EncodedCheckpoint>>>,
    pub(crate) part_limiter: cell::RefCell<platform::Bucket>,
    neighbours: cell::RefCell<Option<Neighbours>>,
}

/// A compressed checkpoint.
pub(crate) struct EncodedCheckpoint {
    pub(crate) version: units::Version,
    pub(crate) bytes: Vec<u8>,
}

struct Neighbours {
    generation: u64,
    members: rc::Rc<Vec<rc::Rc<Member>>>,
}

impl<S: platform::Store, L: peer::Link> Core<S, L> {
    pub(crate) fn new(
        state: rc::Rc<State>,
        store: S,
        link: L,
        members: membership::Reader,
    ) -> Self {
        let burst = 4;
        let part_limiter = platform::Bucket::new(state.settings.parts, burst, time::Instant::now());
        Self {
            state,
            store,
            link,
            members,
            lazy: cell::RefCell::default(),
            pushing: cell::RefCell::default(),
            fetching: cell::Cell::default(),
            newest_checkpoint: cell::Cell::default(),
            joiner_checkpoint: cell::RefCell::default(),
            part_limiter: cell::RefCell::new(part_limiter),
            neighbours: cell::RefCell::default(),
        }
    }

    pub(crate) fn view(&self) -> rc::Rc<View> {
        self.members.get()
    }

    /// Whether this node watches the platform.
    pub(crate) fn is_watcher(&self) -> bool {
        let state = &self.state;
        match state.settings.mode {
            crate::Mode::Direct => true,
            crate::Mode::Mesh => overlay::is_watcher(
                &self.view(),
                &state.node,
                &state.data_centre,
                state.settings.watchers,
            ),
        }
    }

    /// Returns the nodes to which this node pushes new versions.
    pub(crate) fn neighbours(&self) -> rc::Rc<Vec<rc::Rc<Member>>> {
        let view = self.view();
        let mut cached = self.neighbours.borrow_mut();
        if let Some(cached) = cached.as_ref()
            && cached.generation == view.generation()
        {
            return cached.members.clone();
        }
        let members = rc::Rc::new(self.find_neighbours(&view));
        let is_neighbour = |node: &units::Node| members.iter().any(|one| one.node == *node);
        self.lazy.borrow_mut().retain(is_neighbour);
        *cached = Some(Neighbours {
            generation: view.generation(),
            members: members.clone(),
        });
        members
    }

    fn find_neighbours(&self, view: &View) -> Vec<rc::Rc<Member>> {
        let state = &self.state;
        let rings = state.settings.rings;
        let mut found = overlay::neighbours(view, &state.node, &state.data_centre, rings);
        if self.is_watcher() {
            found.extend(overlay::remote_neighbours(view, &state.data_centre));
        }
        found
    }

    pub(crate) fn is_lazy(&self, node: &units::Node) -> bool {
        self.lazy.borrow().binary_search(node).is_ok()
    }

    /// Sets whether `node` only gets announcements (lazy push) or gets entries immediately (eager push).
    pub(crate) fn set_lazy(&self, node: &units::Node, lazy: bool) {
        let mut list = self.lazy.borrow_mut();
        match (list.binary_search(node), lazy) {
            (Ok(index), false) => {
                list.remove(index);
            }
            (Err(index), true) => list.insert(index, node.clone()),
            _ => {}
        }
    }

    /// Sends a request to another node and records the version announced in the reply.
    pub(crate) async fn call(
        &self,
        member: &Member,
        kind: wire::request::Kind,
        timeout: time::Duration,
    ) -> Result<wire::Reply, peer::Error> {
        let request = wire::Request {
            kind: Some(kind),
            sender: Some(self.state.standing()),
        };
        let request = request.encode_to_vec();
        self.state.count(|counts| {
            counts.sent += 1;
            counts.sent_bytes += request.len() as u64;
        });
        let reply = self
            .link
            .call(member.peer_address, SERVICE, request, timeout)
            .await;
        let reply = reply.inspect_err(|_| self.state.count(|counts| counts.failed += 1))?;
        self.state.count(|counts| {
            counts.received += 1;
            counts.received_bytes += reply.len() as u64;
        });
        let reply = wire::Reply::decode(reply.as_slice()).map_err(|_| peer::Error::Invalid)?;
        self.state.record_standing(&member.node, reply.sender);
        if let Some(wire::reply::Kind::Held(held)) = &reply.kind {
            self.state
                .raise_min_version(units::Version(held.remembered));
        }
        Ok(reply)
    }

    pub(crate) fn call_timeout(&self) -> time::Duration {
        self.state.settings.call_timeout.0
    }
}
