//! What the tasks of the service share.

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
    /// Neighbours that are only told of new versions, sorted.
    lazy: cell::RefCell<Vec<units::Node>>,
    /// Neighbours that a task feeds at the moment, sorted.
    pub(crate) fed: cell::RefCell<Vec<units::Node>>,
    /// Whether a task fetches from another node.
    pub(crate) fetching: cell::Cell<bool>,
    /// Newest checkpoint in the platform, as far as known.
    pub(crate) archived: cell::Cell<units::Version>,
    /// The checkpoint that joiners get, compressed.
    pub(crate) blob: cell::RefCell<Option<rc::Rc<Blob>>>,
    pub(crate) parts: cell::RefCell<platform::Bucket>,
    neighbours: cell::RefCell<Option<Neighbours>>,
}

/// A compressed checkpoint.
pub(crate) struct Blob {
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
        let parts = platform::Bucket::new(state.settings.parts, burst, time::Instant::now());
        Self {
            state,
            store,
            link,
            members,
            lazy: cell::RefCell::default(),
            fed: cell::RefCell::default(),
            fetching: cell::Cell::default(),
            archived: cell::Cell::default(),
            blob: cell::RefCell::default(),
            parts: cell::RefCell::new(parts),
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

    /// The nodes that this one pushes to.
    pub(crate) fn neighbours(&self) -> rc::Rc<Vec<rc::Rc<Member>>> {
        let view = self.view();
        let mut cached = self.neighbours.borrow_mut();
        if let Some(cached) = cached.as_ref()
            && cached.generation == view.generation()
        {
            return cached.members.clone();
        }
        let members = rc::Rc::new(self.find_neighbours(&view));
        let names = |node: &units::Node| members.iter().any(|one| one.node == *node);
        self.lazy.borrow_mut().retain(names);
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

    /// Chooses whether `node` gets entries at once or is only told of them.
    pub(crate) fn set_lazy(&self, node: &units::Node, lazy: bool) {
        let mut list = self.lazy.borrow_mut();
        match (list.binary_search(node), lazy) {
            (Ok(place), false) => {
                list.remove(place);
            }
            (Err(place), true) => list.insert(place, node.clone()),
            _ => {}
        }
    }

    /// Sends a request to another node and remembers what it announces in its reply.
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
        let answer = self
            .link
            .call(member.peer_address, SERVICE, request, timeout)
            .await;
        let answer = answer.inspect_err(|_| self.state.count(|counts| counts.failed += 1))?;
        self.state.count(|counts| {
            counts.received += 1;
            counts.received_bytes += answer.len() as u64;
        });
        let reply = wire::Reply::decode(answer.as_slice()).map_err(|_| peer::Error::Invalid)?;
        self.state.note(&member.node, reply.sender);
        if let Some(wire::reply::Kind::Held(held)) = &reply.kind {
            self.state.raise_floor(units::Version(held.remembered));
        }
        Ok(reply)
    }

    pub(crate) fn call_timeout(&self) -> time::Duration {
        self.state.settings.call_timeout.0
    }
}
