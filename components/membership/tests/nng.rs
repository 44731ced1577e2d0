//! Members over real connections.

use std::time;

use kernel::Service;
use membership::{Members, Reader, Settings, State};

const TIMEOUT: time::Duration = time::Duration::from_secs(60);
const POLL: time::Duration = time::Duration::from_millis(20);

struct Node {
    reader: Reader,
    stop_members: kernel::Trigger,
    stop_server: kernel::Trigger,
    members: compio::runtime::JoinHandle<()>,
    server: compio::runtime::JoinHandle<()>,
}

fn free_address() -> units::Address {
    fakes::free_address().expect("a free port")
}

fn fast() -> Settings {
    Settings {
        probe_period: units::Period::from_millis(300),
        probe_timeout: units::Period::from_millis(100),
        compare_period: units::Period::from_millis(500),
        ..Settings::default()
    }
}

fn start(number: usize, address: units::Address, seeds: Vec<units::Address>) -> Node {
    let node: units::Node = format!("node-{number}").parse().expect("an id");
    let identity = membership::Identity {
        node: node.clone(),
        data_centre: "centre".parse().expect("an id"),
        region: "region".into(),
        peer_address: address,
        mesh_address: address,
    };
    let meter = peer::Meter::default();
    let link = peer::Client::new(node, peer::Settings::default(), meter.clone());
    let (_, commands) = kernel::mailbox(16);
    let (mailbox, requests) = kernel::mailbox(256);
    let mut router = peer::Router::default();
    router.register("membership", mailbox).expect("a new name");
    let server = peer::Server::bind(address, router, peer::Settings::default(), meter);
    let server = server.expect("a free port");
    let reader = Reader::default();
    let store = fakes::Store::default();
    let members = Members::new(
        identity,
        seeds,
        fast(),
        store,
        link,
        reader.clone(),
        commands,
        requests,
    );
    let (stop_server, stop) = kernel::stop();
    let server = compio::runtime::spawn(server.run(stop));
    let (stop_members, stop) = kernel::stop();
    let members = compio::runtime::spawn(members.run(stop));
    Node {
        reader,
        stop_members,
        stop_server,
        members,
        server,
    }
}

impl Node {
    /// Stops in the order of a real node: the services one after the other, the server last.
    async fn close(self) {
        self.stop_members.fire();
        self.members.await.expect("the members stop");
        self.stop_server.fire();
        self.server.await.expect("the server stops");
    }

    /// Stops answering without a leave message, then cancels the remaining tasks.
    async fn crash(self) {
        self.stop_server.fire();
        self.server.await.expect("the server stops");
        self.members.cancel().await;
    }

    fn state(&self, number: usize) -> Option<State> {
        let node = format!("node-{number}").parse().expect("an id");
        self.reader.get().member(&node).map(|member| member.state)
    }
}

async fn wait(nodes: &[Node], number: usize, state: State) {
    let started = time::Instant::now();
    while !nodes.iter().all(|node| node.state(number) == Some(state)) {
        assert!(
            started.elapsed() < TIMEOUT,
            "node-{number} is not {state:?} everywhere"
        );
        compio::time::sleep(POLL).await;
    }
}

#[compio::test]
async fn run_over_nng() {
    let addresses: Vec<_> = (0..5).map(|_| free_address()).collect();
    let mut nodes: Vec<_> = (0..5)
        .map(|number| start(number, addresses[number], addresses.clone()))
        .collect();
    for number in 0..5 {
        wait(&nodes, number, State::Alive).await;
    }
    nodes.pop().expect("five nodes").close().await;
    wait(&nodes, 4, State::Left).await;
    nodes.pop().expect("four nodes").crash().await;
    wait(&nodes, 3, State::Dead).await;
    nodes.push(start(3, addresses[3], addresses.clone()));
    wait(&nodes, 3, State::Alive).await;
    for node in nodes {
        node.close().await;
    }
}
