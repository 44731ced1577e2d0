//! Small mesh in one process: nodes that run the moves service on a fake platform and network, with
//! one shared configuration and simulated traffic.

mod pausable_store;
mod traffic;

use std::cell;
use std::rc;
use std::time;

use config::{Applied, Change, Put, Route, Service, Snapshot, Weight};
use distribution::{Accepted, Verdict};
use futures_channel::oneshot;
use kernel::Service as _;
use membership::{Backend, Member, Phase, State, View};
use moves::{Command, Moves, Parts, Reader, Refusal, Settings, Start};
use routing::{Focus, Withheld};
use schema::operator::Move;

pub(crate) use pausable_store::PausableStore;
pub(crate) use traffic::Behaviour;

/// Maximum wait for a condition.
const TIMEOUT: time::Duration = time::Duration::from_secs(60);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Node of the mesh.
pub(crate) struct Node {
    pub(crate) id: units::Node,
    pub(crate) withheld: Withheld,
    pub(crate) focus: Focus,
    pub(crate) platform: PausableStore<fakes::Store>,
    pub(crate) reader: Reader<PausableStore<fakes::Store>, fakes::Link>,
    members: membership::Reader,
    holder: distribution::Holder,
    recorder: moves::Recorder,
    commands: kernel::Mailbox<Command>,
    _trigger: kernel::Trigger,
}

/// Mesh of nodes that run the moves service.
pub(crate) struct Mesh {
    pub(crate) store: fakes::Store,
    pub(crate) network: fakes::Network,
    pub(crate) nodes: Vec<Node>,
    pub(crate) behaviour: rc::Rc<cell::RefCell<Behaviour>>,
    configuration: rc::Rc<Configuration>,
    members: cell::RefCell<Vec<Member>>,
    generation: cell::Cell<u64>,
}

/// Configuration shared by all nodes, which replaces the distribution service.
pub(crate) struct Configuration {
    snapshot: cell::RefCell<Snapshot>,
    holders: cell::RefCell<Vec<distribution::Holder>>,
    store: fakes::Store,
    /// Accepted shares of the new version, in parts per 10,000.
    pub(crate) shares: cell::RefCell<Vec<u32>>,
}

impl Configuration {
    fn accept(&self, change: &Change) -> Verdict {
        if self.store.faults().outage {
            return Verdict::Unavailable;
        }
        let applied = self.snapshot.borrow().apply(change);
        match applied {
            Ok(Applied::Repeated(version)) => Verdict::Accepted(Accepted { version }),
            Ok(Applied::Accepted(snapshot)) => {
                let version = snapshot.version();
                for holder in self.holders.borrow().iter() {
                    holder.advance(snapshot.clone());
                }
                let service = snapshot.service("menus");
                let weight = service.and_then(|service| service.weight("v2"));
                let parts = weight.map_or(0, |weight| weight.share.parts());
                self.shares.borrow_mut().push(parts);
                *self.snapshot.borrow_mut() = snapshot;
                Verdict::Accepted(Accepted { version })
            }
            Err(config::Refusal::Invalid(findings)) => Verdict::Refused(findings),
            Err(config::Refusal::Conflict(findings)) => Verdict::Conflict(findings),
        }
    }
}

/// Settings with which a move takes one or two seconds.
pub(crate) fn settings() -> Settings {
    let millis = units::Period::from_millis;
    Settings {
        report: millis(20),
        observe: millis(150),
        hold: millis(100),
        watch: millis(200),
        reserve: millis(300),
        warm_up: millis(40),
        lease: millis(400),
        ..Settings::default()
    }
}

impl Mesh {
    /// Starts a mesh of `count` nodes in two data centres. Half of the nodes have a ready backend
    /// server of version v1 of the service `menus`, the others one of v2.
    pub(crate) async fn start(count: usize, settings: &Settings) -> Self {
        let store = fakes::Store::default();
        let configuration = rc::Rc::new(Configuration {
            snapshot: cell::RefCell::new(initial()),
            holders: cell::RefCell::default(),
            store: store.clone(),
            shares: cell::RefCell::default(),
        });
        let members: Vec<_> = (0..count).map(member).collect();
        let mut mesh = Self {
            network: fakes::Network::new(1),
            nodes: Vec::new(),
            behaviour: rc::Rc::default(),
            configuration,
            members: cell::RefCell::new(members),
            generation: cell::Cell::new(0),
            store,
        };
        for index in 0..count {
            let node = mesh.start_node(index, settings);
            mesh.nodes.push(node);
        }
        mesh.publish_members();
        traffic::spawn(&mesh);
        mesh
    }

    fn start_node(&self, index: usize, settings: &Settings) -> Node {
        let member = self.members.borrow()[index].clone();
        let holder = distribution::Holder::default();
        holder.advance(self.configuration.snapshot.borrow().clone());
        self.configuration.holders.borrow_mut().push(holder.clone());
        let (distribution, accepts) = kernel::mailbox(64);
        serve_distribution(self.configuration.clone(), accepts);
        let link = self.network.link(member.node.clone(), member.peer_address);
        let (peers, incoming) = kernel::mailbox(256);
        let mut router = peer::Router::default();
        router
            .register(moves::NAME, peers)
            .expect("the name is free");
        link.serve(router);
        let (commands, inbox) = kernel::mailbox(64);
        let platform = PausableStore::new(self.store.clone());
        let parts = Parts {
            node: member.node.clone(),
            data_centre: member.data_centre,
            settings: settings.clone(),
            store: platform.clone(),
            link,
            holder: holder.clone(),
            distribution,
            members: membership::Reader::default(),
            withheld: Withheld::default(),
            focus: Focus::default(),
        };
        let service = Moves::new(parts.clone(), inbox, incoming);
        let (trigger, stop) = kernel::stop();
        let (recorder, reader) = (service.recorder(), service.reader());
        compio::runtime::spawn(service.run(stop)).detach();
        Node {
            id: member.node,
            withheld: parts.withheld,
            focus: parts.focus,
            members: parts.members,
            platform,
            reader,
            holder,
            recorder,
            commands,
            _trigger: trigger,
        }
    }

    /// Marks the node at `index` as failed or as running in the views of all nodes.
    pub(crate) fn set_dead(&self, index: usize, is_dead: bool) {
        let state = if is_dead { State::Dead } else { State::Alive };
        self.members.borrow_mut()[index].state = state;
        self.publish_members();
    }

    /// Changes the backend server beside the node at `index`.
    pub(crate) fn set_backend(&self, index: usize, change: impl FnOnce(&mut Backend)) {
        let mut members = self.members.borrow_mut();
        change(members[index].backend.as_mut().expect("it has one"));
        drop(members);
        self.publish_members();
    }

    fn publish_members(&self) {
        self.generation.set(self.generation.get() + 1);
        let members = self.members.borrow();
        for node in &self.nodes {
            let view = members.iter().cloned().map(rc::Rc::new).collect();
            node.members.set(View::new(view, self.generation.get()));
        }
    }

    /// Applies an operator's change of the weights.
    pub(crate) fn apply(&self, weights: &[(&str, u32)]) -> Verdict {
        self.configuration.accept(&Change {
            operation: units::Operation::random(),
            puts: vec![Put::Service(service(weights), None)],
            removes: Vec::new(),
            author: "an operator".into(),
        })
    }

    /// Accepted shares of the new version, in parts per 10,000.
    pub(crate) fn shares(&self) -> Vec<u32> {
        self.configuration.shares.borrow().clone()
    }

    /// Weights of the service.
    pub(crate) fn weights(&self) -> Vec<Weight> {
        let snapshot = self.configuration.snapshot.borrow();
        snapshot
            .service("menus")
            .expect("it is there")
            .weights
            .clone()
    }

    /// Starts the move from v1 to v2 through the node at `index`.
    pub(crate) async fn start_move(
        &self,
        index: usize,
        operation: &str,
        deadline: time::Duration,
    ) -> Result<Move, Refusal> {
        let start = Start {
            operation: operation.parse().expect("it is an id"),
            service: "menus".into(),
            from: "v1".into(),
            to: "v2".into(),
            deadline: units::Wall::now().after(deadline),
        };
        self.start_with(index, start).await
    }

    /// Starts a move with `start` through the node at `index`.
    pub(crate) async fn start_with(&self, index: usize, start: Start) -> Result<Move, Refusal> {
        let (answer, answered) = oneshot::channel();
        self.send(index, Command::Start { start, answer });
        answered.await.expect("it is answered")
    }

    /// Shows a move through the node at `index`.
    pub(crate) async fn show(&self, index: usize, id: &str) -> Result<Move, Refusal> {
        let (answer, answered) = oneshot::channel();
        let id = id.into();
        self.send(index, Command::Show { id, answer });
        answered.await.expect("it is answered")
    }

    /// Cancels a move through the node at `index`.
    pub(crate) async fn cancel(&self, index: usize, id: &str) -> Result<Move, Refusal> {
        let (answer, answered) = oneshot::channel();
        let (id, reason) = (id.into(), "cancelled".into());
        self.send(index, Command::Cancel { id, reason, answer });
        answered.await.expect("it is answered")
    }

    /// Sends a command to the node at `index`.
    pub(crate) fn send(&self, index: usize, command: Command) {
        let sent = self.nodes[index].commands.send(command);
        sent.expect("the service runs");
    }

    /// Waits for every node to know the end of the move, and returns the view of the last node.
    pub(crate) async fn wait_for_end(&self, id: &str) -> Move {
        let ended = |index: usize| async move {
            let shown = self.show(index, id).await.ok();
            shown.filter(|shown| shown.ended_ms > 0)
        };
        let mut last = None;
        for index in 0..self.nodes.len() {
            last = Some(wait_for("the move to end", async || ended(index).await).await);
        }
        last.expect("there are nodes")
    }

    /// Waits for `condition` to become true.
    pub(crate) async fn wait(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        wait_for(what, async || condition(self).then_some(())).await;
    }

    /// Sum of a count over all nodes.
    pub(crate) fn sum(&self, count: impl Fn(&moves::CounterSnapshot) -> u64) -> u64 {
        let nodes = self.nodes.iter();
        nodes.map(|node| count(&node.reader.counts())).sum()
    }

    /// Asserts that no invariant was violated and that the object has the end known to all nodes.
    pub(crate) fn check(&self, end: &Move) {
        assert_eq!(
            self.sum(|counts| counts.second_ends),
            0,
            "moves with two ends"
        );
        assert_eq!(
            self.sum(|counts| counts.late_steps),
            0,
            "steps after withholding"
        );
        let objects = self.store.peek("move/");
        let ends: Vec<_> = objects
            .iter()
            .filter_map(|object| moves::Record::from_bytes(&object.value))
            .filter(|record| record.id.to_string() == end.id)
            .collect();
        assert_eq!(ends.len(), 1);
        assert_eq!(ends[0].ended.map(|ended| ended.0), Some(end.ended_ms));
        assert_eq!(
            self.sum(|counts| counts.done + counts.taken_back),
            1,
            "ends written"
        );
    }
}

/// Polls `probe` for a value.
pub(crate) async fn wait_for<T>(what: &str, mut probe: impl AsyncFnMut() -> Option<T>) -> T {
    let started = time::Instant::now();
    while started.elapsed() < TIMEOUT {
        if let Some(found) = probe().await {
            return found;
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("waited too long for {what}");
}

fn serve_distribution(
    configuration: rc::Rc<Configuration>,
    mut inbox: kernel::Inbox<distribution::Command>,
) {
    compio::runtime::spawn(async move {
        while let Some(command) = inbox.receive().await {
            if let distribution::Command::Accept { change, answer, .. } = command {
                let _ = answer.send(configuration.accept(&change));
            }
        }
    })
    .detach();
}

fn initial() -> Snapshot {
    let route = |name: &str| Route {
        name: name.into(),
        host: "".into(),
        path_prefix: format!("/{name}").into(),
        service: "menus".into(),
        timeout: units::Period::from_secs(1),
        idempotency: config::Idempotency::ByMethod,
        max_body: units::Size(1024),
        revision: units::Version::default(),
        ..Route::default()
    };
    let change = Change {
        operation: "initial".parse().expect("it is an id"),
        puts: vec![
            Put::Service(service(&[("v1", 10_000)]), None),
            Put::Route(route("book"), None),
            Put::Route(route("list"), None),
        ],
        removes: Vec::new(),
        author: "".into(),
    };
    Snapshot::default()
        .apply_all(&[change])
        .expect("it is valid")
}

fn service(weights: &[(&str, u32)]) -> Service {
    let weight = |(version, parts): &(&str, u32)| Weight {
        version: (*version).into(),
        share: units::Share::from_parts(*parts).expect("a share"),
    };
    Service {
        name: "menus".into(),
        weights: weights.iter().map(weight).collect(),
        revision: units::Version::default(),
        ..Service::default()
    }
}

fn member(index: usize) -> Member {
    let address = |port: usize| format!("127.0.0.1:{port}").parse().expect("an address");
    let centre = if index.is_multiple_of(2) {
        "ba"
    } else {
        "nadi"
    };
    let version = if (index / 2).is_multiple_of(2) {
        "v1"
    } else {
        "v2"
    };
    Member {
        node: format!("n{index}").parse().expect("an id"),
        data_centre: centre.parse().expect("an id"),
        peer_address: address(7_000 + index),
        mesh_address: address(8_000 + index),
        incarnation: 1,
        state: State::Alive,
        backend: Some(Backend {
            service: "menus".into(),
            version: version.into(),
            slots: 1_000,
            connections: 1_000,
            phase: Phase::Ready,
            instance: 1,
        }),
    }
}
