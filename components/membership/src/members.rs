//! The membership service.

use std::cell;
use std::rc;
use std::time;

use compio::runtime;
use futures_util::future;

use crate::counts::Counter;
use crate::scope::Scope;
use crate::shared::{SERVICE, Shared};
use crate::{
    Command, Identity, MassFailure, Member, Monitor, Reader, Settings, State, Suspicion, Table,
};

/// The membership service: discovers nodes and backend servers, and passes updates on to other nodes.
pub struct Members<S, L> {
    shared: rc::Rc<Shared<S, L>>,
    commands: kernel::Inbox<Command>,
    requests: kernel::Inbox<peer::Incoming>,
}

impl<S: platform::Store, L: peer::Link> Members<S, L> {
    /// Name under which the service receives requests from other nodes, for [`peer::Router::register`].
    pub const SERVICE: &'static str = SERVICE;

    /// Creates a service that initially knows only its own node.
    ///
    /// `seeds` are peer addresses of other nodes, in addition to the seed objects of the platform.
    #[must_use]
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        identity: Identity,
        seeds: Vec<units::Address>,
        settings: Settings,
        store: S,
        link: L,
        reader: Reader,
        commands: kernel::Inbox<Command>,
        requests: kernel::Inbox<peer::Incoming>,
    ) -> Self {
        let now = time::Instant::now();
        let own = initial_member(&identity);
        let table = Table::new(own, settings.members_limit, now);
        let view = table.view();
        let scope = Scope::new(view.members(), &table.own(), settings.centre_members);
        reader.set(view);
        let shared = Shared {
            suspicion: Suspicion::new(settings.probe_period.0, settings.suspicion_periods),
            mass_failure: MassFailure::new(settings.herd_share),
            identity,
            seeds,
            seed_object_addresses: cell::RefCell::default(),
            settings,
            store,
            link,
            reader,
            table: rc::Rc::new(cell::RefCell::new(table)),
            scope: cell::RefCell::new(rc::Rc::new(scope)),
            counter: Counter::default(),
            health: rc::Rc::default(),
            joined_at: rc::Rc::default(),
            grace_until: cell::Cell::new(now),
            lease_end: cell::Cell::new(None),
            draining: cell::Cell::new(false),
            drains: cell::RefCell::default(),
            joiners: cell::RefCell::default(),
            assisted_probes: cell::Cell::new(0),
            gossip_in_flight: cell::Cell::new(0),
            outages: cell::RefCell::default(),
            last_published: cell::Cell::new(now),
        };
        Self {
            shared: rc::Rc::new(shared),
            commands,
            requests,
        }
    }

    /// Returns a monitor of the running service.
    #[must_use]
    pub fn monitor(&self) -> Monitor {
        Monitor {
            counter: self.shared.counter.clone(),
            table: self.shared.table.clone(),
            health: self.shared.health.clone(),
            joined: self.shared.joined_at.clone(),
        }
    }
}

impl<S: platform::Store, L: peer::Link> kernel::Service for Members<S, L> {
    const NAME: &'static str = SERVICE;

    async fn run(self, stop: kernel::Stop) {
        let shared = self.shared;
        let tasks = [
            runtime::spawn(shared.clone().run_requests(self.requests, stop.clone())),
            runtime::spawn(shared.clone().run_commands(self.commands, stop.clone())),
            runtime::spawn(shared.clone().run_gossip(stop.clone())),
            runtime::spawn(shared.clone().run_probes(stop.clone())),
            runtime::spawn(shared.clone().run_compares(stop.clone())),
            runtime::spawn(shared.clone().run_bridge(stop.clone())),
            runtime::spawn(shared.clone().run_joins(stop)),
        ];
        future::join_all(tasks).await;
        shared.leave().await;
    }
}

fn initial_member(identity: &Identity) -> Member {
    Member {
        node: identity.node.clone(),
        data_centre: identity.data_centre.clone(),
        peer_address: identity.peer_address,
        mesh_address: identity.mesh_address,
        incarnation: 1,
        state: State::Alive,
        backend: None,
    }
}
