//! Test mesh: members that share one network and one platform.

use std::time;

use futures_channel::oneshot;
use kernel::Service;
use membership::{
    AnnounceReply, Backend, Command, Members, Monitor, Phase, Reader, Settings, State,
};

/// Bound on each wait, which allows for a machine under load.
pub(crate) const TIMEOUT: time::Duration = time::Duration::from_secs(60);
pub(crate) const POLL: time::Duration = time::Duration::from_millis(10);

pub(crate) struct Node {
    pub(crate) number: usize,
    pub(crate) reader: Reader,
    pub(crate) monitor: Monitor,
    pub(crate) commands: kernel::Mailbox<Command>,
    pub(crate) trigger: kernel::Trigger,
    pub(crate) task: compio::runtime::JoinHandle<()>,
}

/// Test mesh of members that share one network and one platform.
pub(crate) struct Mesh {
    pub(crate) network: fakes::Network,
    pub(crate) store: fakes::Store,
    pub(crate) settings: Settings,
    pub(crate) centres: usize,
    pub(crate) nodes: Vec<Node>,
}

pub(crate) fn address(number: usize) -> units::Address {
    format!("10.0.0.{}:{}", number + 1, 7_400 + number)
        .parse()
        .expect("an address")
}

pub(crate) fn node_id(number: usize) -> units::Node {
    format!("node-{number:02}").parse().expect("an id")
}

pub(crate) fn fast() -> Settings {
    Settings {
        probe_period: units::Period::from_millis(200),
        probe_timeout: units::Period::from_millis(60),
        gossip_period: units::Period::from_millis(20),
        compare_period: units::Period::from_millis(400),
        bridge_period: units::Period::from_millis(200),
        view_period: units::Period::from_millis(10),
        lease: units::Period::from_secs(1),
        seed_period: units::Period::from_millis(300),
        ..Settings::default()
    }
}

impl Mesh {
    /// Starts `count` members in `centres` data centres and waits until all of them are known to each other.
    pub(crate) async fn start(count: usize, centres: usize, settings: Settings) -> Self {
        let mut mesh = Self {
            network: fakes::Network::new(7),
            store: fakes::Store::default(),
            settings,
            centres,
            nodes: Vec::new(),
        };
        for number in 0..count {
            mesh.add(number);
        }
        mesh.wait_all_alive().await;
        for node in &mesh.nodes {
            announce(node, Phase::Ready).await;
        }
        let ready =
            |node: &Node| (0..count).all(|number| phase(node, number) == Some(Phase::Ready));
        mesh.wait("all ready", ready).await;
        mesh
    }

    /// Starts `count` members in four data centres without configured seeds, runs them for `uptime`, then
    /// crashes all of them.
    pub(crate) async fn start_and_crash(
        count: usize,
        settings: Settings,
        uptime: time::Duration,
    ) -> Self {
        let mut mesh = Self {
            network: fakes::Network::new(7),
            store: fakes::Store::default(),
            settings,
            centres: 4,
            nodes: Vec::new(),
        };
        for number in 0..count {
            mesh.add_with(number, Vec::new());
        }
        mesh.wait_all_alive().await;
        sleep(uptime).await;
        for number in 0..count {
            mesh.crash(number).await;
        }
        mesh.nodes.clear();
        mesh
    }

    pub(crate) fn add(&mut self, number: usize) {
        let seeds = if number == 0 {
            vec![]
        } else {
            vec![address(0), address(1)]
        };
        self.add_with(number, seeds);
    }

    pub(crate) fn add_with(&mut self, number: usize, seeds: Vec<units::Address>) {
        let node = node_id(number);
        let address = address(number);
        let centre = format!("centre-{}", number % self.centres);
        let identity = membership::Identity {
            node: node.clone(),
            data_centre: centre.parse().expect("an id"),
            region: "region".into(),
            peer_address: address,
            mesh_address: address,
        };
        let link = self.network.link(node, address);
        let (commands, inbox) = kernel::mailbox(16);
        let (mailbox, requests) = kernel::mailbox(256);
        let mut router = peer::Router::default();
        router.register("membership", mailbox).expect("a new name");
        link.serve(router);
        let reader = Reader::default();
        let settings = self.settings.clone();
        let store = self.store.clone();
        let members = Members::new(
            identity,
            seeds,
            settings,
            store,
            link,
            reader.clone(),
            inbox,
            requests,
        );
        let monitor = members.monitor();
        let (trigger, stop) = kernel::stop();
        let task = compio::runtime::spawn(members.run(stop));
        self.nodes.push(Node {
            number,
            reader,
            monitor,
            commands,
            trigger,
            task,
        });
    }

    /// Crashes a member without a leave message.
    pub(crate) async fn crash(&mut self, number: usize) {
        self.network.crash(address(number));
        self.stop(number).await;
    }

    pub(crate) async fn stop(&mut self, number: usize) {
        let index = self.nodes.iter().position(|node| node.number == number);
        let node = self.nodes.remove(index.expect("a running node"));
        node.trigger.fire();
        node.task.await.expect("the service stops");
    }

    pub(crate) async fn wait(&self, what: &str, reached: impl Fn(&Node) -> bool) {
        let started = time::Instant::now();
        while !self.nodes.iter().all(&reached) {
            if started.elapsed() > TIMEOUT {
                let failed: Vec<_> = self.nodes.iter().filter(|node| !reached(node)).collect();
                for node in &failed {
                    let dump = node.monitor.dump();
                    println!("{}: {:?}", node.number, dump.counts);
                    for entry in dump.members {
                        println!("    {entry:?}");
                    }
                }
                panic!("{what}: not reached by {} nodes", failed.len());
            }
            compio::time::sleep(POLL).await;
        }
    }

    pub(crate) async fn wait_all_alive(&self) {
        let count = self.nodes.len();
        let all_alive =
            |node: &Node| (0..count).all(|number| state(node, number) == Some(State::Alive));
        self.wait("all alive", all_alive).await;
    }
}

pub(crate) fn state(node: &Node, number: usize) -> Option<State> {
    let view = node.reader.get();
    view.member(&node_id(number)).map(|member| member.state)
}

pub(crate) fn incarnation(node: &Node, number: usize) -> u64 {
    let view = node.reader.get();
    view.member(&node_id(number))
        .map_or(0, |member| member.incarnation)
}

pub(crate) fn phase(node: &Node, number: usize) -> Option<Phase> {
    let view = node.reader.get();
    Some(view.member(&node_id(number))?.backend.as_ref()?.phase)
}

pub(crate) async fn announce(node: &Node, phase: Phase) -> AnnounceReply {
    announce_as(node, phase, 1).await
}

pub(crate) async fn announce_as(node: &Node, phase: Phase, instance: u64) -> AnnounceReply {
    let backend = Backend {
        service: "bookdesk".into(),
        version: "v1".into(),
        slots: 20,
        connections: 120,
        phase,
        instance,
    };
    let (answer, receiver) = oneshot::channel();
    let command = Command::Announce { backend, answer };
    node.commands.send(command).expect("a running service");
    receiver.await.expect("an answer")
}

/// Settings under which no lease expires during a test.
pub(crate) fn long_lease() -> Settings {
    Settings {
        lease: units::Period::from_secs(3600),
        ..fast()
    }
}

/// Settings under which each data centre is probed by its own members only.
pub(crate) fn by_centre() -> Settings {
    Settings {
        centre_members: 0,
        ..long_lease()
    }
}

pub(crate) async fn sleep(period: time::Duration) {
    compio::time::sleep(period).await;
}
