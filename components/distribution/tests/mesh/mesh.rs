//! Fixture: nodes on an in-memory network with an in-memory store.

use std::rc;
use std::time;

use config::{Change, Put, Remove};
use distribution::{Command, Handle, Holder, Parts, Service, Settings, Verdict};
use futures_channel::oneshot;
use membership::{Member, Reader, State, View};

/// Maximum time for a condition to become true.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(2);

/// Nodes that share a store, a network and a membership view.
pub(crate) struct Mesh {
    pub(crate) store: fakes::Store,
    pub(crate) network: fakes::Network,
    pub(crate) members: Reader,
    pub(crate) nodes: Vec<RunningNode>,
    settings: Settings,
}

/// Running node.
pub(crate) struct RunningNode {
    pub(crate) member: rc::Rc<Member>,
    pub(crate) handle: Handle,
    pub(crate) commands: kernel::Mailbox<Command>,
    trigger: kernel::Trigger,
    task: compio::runtime::JoinHandle<()>,
}

/// Settings with short intervals.
pub(crate) fn short_intervals() -> Settings {
    Settings {
        watch_wait: units::Period::from_millis(500),
        watch_pause: units::Period::from_millis(5),
        call_timeout: units::Period::from_millis(200),
        lazy_delay: units::Period::from_millis(50),
        repair: units::Period::from_millis(300),
        join_pause: units::Period::from_millis(20),
        platform_after: units::Period::from_millis(600),
        accept_limit: units::Period::from_millis(400),
        ..Settings::default()
    }
}

pub(crate) fn service(name: &str) -> config::Service {
    let weight = config::Weight {
        version: "v1".into(),
        share: units::Share::WHOLE,
    };
    config::Service {
        name: name.into(),
        weights: vec![weight],
        revision: units::Version::default(),
        ..config::Service::default()
    }
}

pub(crate) fn change(puts: Vec<Put>, removes: Vec<Remove>) -> Change {
    Change {
        operation: units::Operation::random(),
        puts,
        removes,
        author: "test".into(),
    }
}

/// Returns a change that puts a service.
pub(crate) fn put(name: &str) -> Change {
    change(vec![Put::Service(service(name), None)], Vec::new())
}

/// Polls until `condition` holds.
pub(crate) async fn wait_until(name: &str, condition: impl Fn() -> bool) {
    let started = time::Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < TIMEOUT,
            "{name}: not within {TIMEOUT:?}"
        );
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

impl Mesh {
    /// Starts `count` nodes in one data centre.
    pub(crate) fn start(count: usize, settings: Settings) -> Self {
        let mut mesh = Self {
            store: fakes::Store::default(),
            network: fakes::Network::new(7),
            members: Reader::default(),
            nodes: Vec::new(),
            settings,
        };
        let members: Vec<_> = (0..count).map(member).collect();
        mesh.members.set(View::new(members.clone(), 1));
        for member in members {
            mesh.add(member);
        }
        mesh
    }

    /// Starts a node with an empty holder.
    pub(crate) fn add(&mut self, member: rc::Rc<Member>) {
        let (commands, command_inbox) = kernel::mailbox(64);
        let (peers, peer_inbox) = kernel::mailbox(256);
        let link = self.network.link(member.node.clone(), member.peer_address);
        let mut router = peer::Router::default();
        let name = Service::<fakes::Store, fakes::Link>::PEER_NAME;
        router.register(name, peers).expect("the name is free");
        link.serve(router);
        let service = Service::new(Parts {
            node: member.node.clone(),
            data_centre: member.data_centre.clone(),
            store: self.store.clone(),
            link,
            members: self.members.clone(),
            holder: Holder::default(),
            commands: command_inbox,
            incoming: peer_inbox,
            settings: self.settings.clone(),
        });
        let handle = service.handle();
        let (trigger, stop) = kernel::stop();
        let task = compio::runtime::spawn(kernel::Service::run(service, stop));
        self.nodes.push(RunningNode {
            member,
            handle,
            commands,
            trigger,
            task,
        });
    }

    /// Disconnects a node from the network and stops it; the membership view still lists it as alive.
    pub(crate) async fn kill(&mut self, index: usize) -> rc::Rc<Member> {
        let running = self.nodes.remove(index);
        self.network.crash(running.member.peer_address);
        let member = running.member.clone();
        running.close().await;
        member
    }

    /// Waits until all nodes are ready and have `version` in force.
    pub(crate) async fn wait_converged(&self, version: u64) {
        let version = units::Version(version);
        let holds = |node: &RunningNode| {
            node.handle.ready() && node.handle.holder().get().version() == version
        };
        wait_until("converged", || self.nodes.iter().all(holds)).await;
    }

    /// Stops all nodes after checking their invariants.
    pub(crate) async fn close(self) {
        for node in self.nodes {
            let violations = node.handle.violations();
            let name = &node.member.node;
            assert_eq!(violations, distribution::Violations::default(), "{name}");
            node.close().await;
        }
    }
}

impl RunningNode {
    /// Submits a change to this node.
    pub(crate) async fn accept(&self, change: Change) -> Verdict {
        self.request(|answer| Command::Accept {
            change,
            dry_run: false,
            answer,
        })
        .await
    }

    /// Queries the result of an operation from this node.
    pub(crate) async fn query_operation(&self, operation: units::Operation) -> Verdict {
        self.request(|answer| Command::Settle { operation, answer })
            .await
    }

    /// Queries the status of `version` from this node.
    pub(crate) async fn status(&self, version: u64) -> schema::operator::StatusReply {
        let version = units::Version(version);
        self.request(|answer| Command::Status { version, answer })
            .await
    }

    pub(crate) async fn request<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> T {
        let (sender, receiver) = oneshot::channel();
        let sent = self.commands.send(command(sender));
        sent.expect("the mailbox has room");
        receiver.await.expect("every command is answered")
    }

    async fn close(self) {
        self.trigger.fire();
        self.task.await.expect("the service does not panic");
    }
}

/// Returns the member with this number.
pub(crate) fn member(number: usize) -> rc::Rc<Member> {
    let address = |port: usize| {
        let text = format!("127.0.0.1:{}", port + number);
        text.parse().expect("the address is valid")
    };
    rc::Rc::new(Member {
        node: format!("n{number}").parse().expect("it is an id"),
        data_centre: "lautoka".parse().expect("it is an id"),
        peer_address: address(10_000),
        mesh_address: address(20_000),
        incarnation: 0,
        state: State::Alive,
        backend: None,
    })
}
