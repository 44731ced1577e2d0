//! The service that distributes the changes read by a few nodes.

use std::rc;

use futures_util::future;
use platform::Store;

use crate::shared::{SERVICE, Shared};
use crate::{Certainty, Counts, Dump, Replica, Settings, Topic};

/// Distributes what a few nodes read below some prefixes of the store to all nodes.
pub struct Relay<S, L> {
    shared: rc::Rc<Shared<S, L>>,
    incoming: kernel::Inbox<peer::Incoming>,
}

/// Parts from which a relay is built.
pub struct Parts<S, L> {
    /// This node.
    pub node: units::Node,
    /// Data centre of this node.
    pub data_centre: units::DataCentre,
    /// The store.
    pub store: S,
    /// Sends requests to other nodes.
    pub link: L,
    /// The other nodes.
    pub members: membership::Reader,
    /// Returns whether this node has joined, so that the other nodes are known.
    pub joined: Box<dyn Fn() -> bool>,
    /// Settings.
    pub settings: Settings,
}

impl<S: Store, L: peer::Link> Relay<S, L> {
    /// Name under which the peer component delivers requests of other nodes.
    pub const PEER_NAME: &'static str = SERVICE;

    /// Creates a relay of `topics` that receives requests of other nodes from `incoming`.
    #[must_use]
    pub fn new(
        parts: Parts<S, L>,
        topics: Vec<Topic>,
        incoming: kernel::Inbox<peer::Incoming>,
    ) -> Self {
        Self {
            shared: rc::Rc::new(Shared::new(parts, topics)),
            incoming,
        }
    }

    /// Creates a replica of the store; each reader needs its own.
    #[must_use]
    pub fn replica(&self) -> Replica<S, L> {
        Replica::new(self.shared.clone())
    }

    /// How certain it is that what is in force below the prefix of the first topic is the newest.
    #[must_use]
    pub fn certainty(&self) -> Certainty {
        self.shared.certainty.clone()
    }

    /// Returns a function that reads the state, also while the relay runs.
    pub fn dump(&self) -> impl Fn() -> Dump + use<S, L> {
        let shared = self.shared.clone();
        move || shared.dump()
    }

    /// Returns a function that reads the counters, also while the relay runs.
    pub fn counts(&self) -> impl Fn() -> Counts + use<S, L> {
        let shared = self.shared.clone();
        move || shared.counts()
    }
}

impl<S: Store, L: peer::Link> kernel::Service for Relay<S, L> {
    const NAME: &'static str = SERVICE;

    async fn run(self, stop: kernel::Stop) {
        let shared = self.shared;
        let tasks = [
            compio::runtime::spawn(shared.clone().run_first_read(stop.clone())),
            compio::runtime::spawn(shared.clone().run_role(stop.clone())),
            compio::runtime::spawn(shared.clone().run_heartbeats(stop.clone())),
            compio::runtime::spawn(shared.clone().run_pulls(stop.clone())),
            compio::runtime::spawn(shared.clone().run_questions(stop.clone())),
        ];
        let mut incoming = self.incoming;
        while let Some(Some(request)) = stop.guard(incoming.receive()).await {
            shared.serve(request);
        }
        for ended in future::join_all(tasks).await {
            if ended.is_err() {
                log::error!("a task of the relay panicked");
            }
        }
    }
}
