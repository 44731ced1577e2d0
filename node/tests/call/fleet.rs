//! Nodes in one process, without gossip: all read one view.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use admission::Announced;
use config::{Applied, Change, Put, Route, Service, Weight};
use membership::{Backend, Member, Phase, Reader, State, View};
use node::call::{Context, Ingress, Owner, Settings};
use routing::{Observer, Sample};

/// Link that delivers at once.
#[derive(Clone, Default)]
pub(crate) struct Wire {
    owners: Rc<RefCell<Owners>>,
    /// Whether nothing is delivered any more.
    cut: Rc<Cell<bool>>,
}

impl Wire {
    /// Delivers nothing from now on.
    pub(crate) fn cut(&self) {
        self.cut.set(true);
    }

    /// Delivers everything again.
    pub(crate) fn mend(&self) {
        self.cut.set(false);
    }
}

type Owners = Vec<(units::Address, Owner<Wire>)>;

impl peer::Link for Wire {
    async fn call(
        &self,
        to: units::Address,
        _: &'static str,
        payload: Vec<u8>,
        _: Duration,
    ) -> Result<Vec<u8>, peer::Error> {
        if self.cut.get() {
            return Err(peer::Error::Timeout);
        }
        let owners = self.owners.borrow().clone();
        let owner = owners.into_iter().find(|(address, _)| *address == to);
        let (_, owner) = owner.ok_or(peer::Error::Timeout)?;
        let (answer, receiver) = peer::Answer::channel();
        let from = "other".parse().expect("a node id");
        let incoming = peer::Incoming {
            from,
            payload,
            answer,
        };
        owner
            .shared_suspects()
            .receive(incoming, std::time::Instant::now());
        let reply = receiver.await.map_err(|_| peer::Error::Timeout)?;
        Ok(reply.payload)
    }
}

/// Observer that keeps what it saw.
#[derive(Clone, Default)]
pub(crate) struct Seen {
    pub(crate) samples: Rc<RefCell<Vec<Sample>>>,
}

impl Observer for Seen {
    fn observe(&self, sample: &Sample) {
        self.samples.borrow_mut().push(sample.clone());
    }
}

pub(crate) struct Node {
    pub(crate) ingress: Ingress<Wire, Seen>,
    pub(crate) owner: Owner<Wire>,
    pub(crate) callers: units::Address,
    pub(crate) seen: Seen,
    pub(crate) withheld: routing::Withheld,
    member: Member,
    _stops: Vec<kernel::Trigger>,
}

pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Node>,
    pub(crate) members: Reader,
    pub(crate) holder: distribution::Holder,
    /// How certain the nodes that start next are of their configuration.
    pub(crate) certainty: relay::Certainty,
    pub(crate) wire: Wire,
    /// Evacuated data centres, as all ingresses know them.
    pub(crate) evacuations: routing::Evacuations,
    settings: Rc<Settings>,
    generation: u64,
}

impl Fleet {
    /// One node for each backend server.
    pub(crate) async fn start(backends: &[units::Address]) -> Self {
        Self::with(backends, Settings::default()).await
    }

    pub(crate) async fn with(backends: &[units::Address], settings: Settings) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            members: Reader::default(),
            holder: distribution::Holder::default(),
            certainty: relay::Certainty::default(),
            wire: Wire::default(),
            evacuations: routing::Evacuations::default(),
            settings: Rc::new(settings),
            generation: 0,
        };
        fleet.configure(&[route("menus", "/", 2_000)]);
        for (index, address) in backends.iter().enumerate() {
            let node = fleet.node(index).await;
            fleet.nodes.push(node);
            fleet.announce(index, *address, 1, Phase::Ready);
        }
        fleet
    }

    /// A node without a backend server, which only takes callers.
    pub(crate) async fn add_ingress(&mut self) -> usize {
        let index = self.nodes.len();
        let node = self.node(index).await;
        self.nodes.push(node);
        self.publish();
        index
    }

    /// Node `index` starts anew: it has forgotten everything and listens elsewhere.
    pub(crate) async fn restart(&mut self, index: usize, backend: units::Address) {
        self.nodes[index].member.backend = None;
        self.publish();
        for node in &self.nodes {
            node.ingress.maintain(std::time::Instant::now());
        }
        self.nodes[index] = self.node(index).await;
        self.announce(index, backend, 1, Phase::Ready);
    }

    pub(crate) fn configure(&self, routes: &[Route]) {
        let mut puts = vec![Put::Service(service("menus"), None)];
        puts.extend(routes.iter().map(|route| Put::Route(route.clone(), None)));
        self.put(puts);
    }

    pub(crate) fn put(&self, puts: Vec<Put>) {
        let change = Change {
            operation: units::Operation::random(),
            puts,
            removes: Vec::new(),
            author: "test".into(),
        };
        match self.holder.get().apply(&change) {
            Ok(Applied::Accepted(next)) => assert!(self.holder.advance(next)),
            other => panic!("the configuration is not accepted: {other:?}"),
        }
    }

    /// The backend server beside node `index` announces itself, as version `v1`.
    pub(crate) fn announce(
        &mut self,
        index: usize,
        address: units::Address,
        instance: u64,
        phase: Phase,
    ) {
        self.announce_version(index, address, instance, phase, "v1");
    }

    /// The backend server beside node `index` announces itself.
    pub(crate) fn announce_version(
        &mut self,
        index: usize,
        address: units::Address,
        instance: u64,
        phase: Phase,
        version: &str,
    ) {
        let backend = Backend {
            service: "menus".into(),
            version: version.into(),
            slots: 8,
            connections: 20,
            phase,
            instance,
        };
        let announced = Announced {
            id: Default::default(),
            address,
            backend: backend.clone(),
        };
        self.nodes[index].owner.announce(Some(&announced));
        self.nodes[index].member.backend = Some(backend);
        self.publish();
    }

    /// The other nodes learn that node `index` is in `state`.
    pub(crate) fn set_state(&mut self, index: usize, state: State) {
        self.nodes[index].member.state = state;
        self.publish();
    }

    /// Requests for the backend server beside node `index` go to `address` in place of its owner.
    pub(crate) fn divert(&mut self, index: usize, address: units::Address) {
        self.nodes[index].member.mesh_address = address;
        self.publish();
    }

    /// Address of node `index` for requests of other nodes.
    pub(crate) fn mesh_address(&self, index: usize) -> units::Address {
        self.nodes[index].member.mesh_address
    }

    /// The backend server beside node `index` is in the data centre `name`.
    pub(crate) fn place(&mut self, index: usize, name: &str) {
        self.nodes[index].member.data_centre = name.parse().expect("a data centre");
        self.publish();
    }

    fn publish(&mut self) {
        self.generation += 1;
        let members = self.nodes.iter().map(|node| Rc::new(node.member.clone()));
        self.members
            .set(View::new(members.collect(), self.generation));
    }

    async fn node(&self, index: usize) -> Node {
        let any = "127.0.0.1:0".parse().expect("an address");
        let id: units::Node = format!("n{index}").parse().expect("a node id");
        let data_centre: units::DataCentre = "ba".parse().expect("a data centre");
        let context = Context {
            node: id.clone(),
            data_centre: data_centre.clone(),
            holder: self.holder.clone(),
            certainty: self.certainty.clone(),
            members: self.members.clone(),
            withheld: routing::Withheld::default(),
            splits: routing::Splits::default(),
            focus: routing::Focus::default(),
            evacuations: self.evacuations.clone(),
            regions: regions(),
            quota: quota::Handle::default(),
            dialect: node::call::Native,
            settings: self.settings.clone(),
        };
        let seen = Seen::default();
        let withheld = context.withheld.clone();
        let owner = Owner::new(context.clone(), self.wire.clone());
        let ingress = Ingress::new(context, seen.clone(), owner.clone());
        let mesh = web::Server::bind(any, web::Limits::default())
            .await
            .expect("a port");
        let callers = web::Server::bind(any, web::Limits::default())
            .await
            .expect("a port");
        let mesh_address = mesh.address().expect("an address");
        let callers_address = callers.address().expect("an address");
        let (mesh_trigger, mesh_stop) = kernel::stop();
        let (callers_trigger, callers_stop) = kernel::stop();
        compio::runtime::spawn(mesh.run(owner.clone(), mesh_stop)).detach();
        compio::runtime::spawn(callers.run(ingress.clone(), callers_stop)).detach();
        self.wire
            .owners
            .borrow_mut()
            .push((mesh_address, owner.clone()));
        let member = Member {
            node: id,
            data_centre,
            peer_address: mesh_address,
            mesh_address,
            incarnation: 1,
            state: State::Alive,
            backend: None,
        };
        Node {
            ingress,
            owner,
            callers: callers_address,
            seen,
            withheld,
            member,
            _stops: vec![mesh_trigger, callers_trigger],
        }
    }

    /// Invariants that any node has seen violated.
    pub(crate) fn violations(&self) -> u64 {
        let nodes = self.nodes.iter();
        let of_node = |node: &Node| {
            node.ingress.counts().violations() + node.owner.gate().counts().violations
        };
        nodes.map(of_node).sum()
    }
}

/// Two data centres, each in a region of its own.
fn regions() -> routing::Regions {
    let entries = [("ba", "west"), ("nadi", "east")];
    let entries =
        entries.map(|(name, region)| (name.parse().expect("a data centre"), region.into()));
    routing::Regions::new(entries.into())
}

pub(crate) fn route(name: &str, prefix: &str, timeout_ms: u64) -> Route {
    Route {
        name: name.into(),
        host: "menus.example".into(),
        path_prefix: prefix.into(),
        service: "menus".into(),
        timeout: units::Period::from_millis(timeout_ms),
        idempotency: config::Idempotency::ByMethod,
        max_body: units::Size(256 * 1024),
        revision: units::Version::default(),
        ..Route::default()
    }
}

pub(crate) fn service(name: &str) -> Service {
    let weight = Weight {
        version: "v1".into(),
        share: units::Share::WHOLE,
    };
    Service {
        name: name.into(),
        weights: vec![weight],
        revision: units::Version::default(),
        ..Service::default()
    }
}

/// Waits until `done`, up to a generous bound.
pub(crate) async fn until(done: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if done() {
            return;
        }
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the condition was not reached");
}
