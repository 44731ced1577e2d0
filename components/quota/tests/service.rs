//! Services of some nodes on a network in memory.

use std::time::{Duration, Instant};

use membership::{Member, State, View};
use quota::{Counts, Dump, Handle, Parts, Quotas, Refusal, Settings};

const NODES: usize = 3;

struct Running {
    handle: Handle,
    dump: Box<dyn Fn() -> Dump>,
    counts: Box<dyn Fn() -> Counts>,
    _stop: kernel::Trigger,
}

fn address(index: usize) -> units::Address {
    let text = format!("127.0.0.1:{}", index + 1);
    text.parse().expect("an address")
}

fn member(index: usize) -> Member {
    let address = self::address(index);
    Member {
        node: format!("n{index}").parse().expect("a node"),
        data_centre: "ba".parse().expect("a data centre"),
        peer_address: address,
        mesh_address: address,
        incarnation: 1,
        state: State::Alive,
        backend: None,
    }
}

/// Starts nodes whose configuration has `workspaces`.
fn open(network: &fakes::Network, workspaces: &[config::Workspace]) -> Vec<Running> {
    let members = membership::Reader::default();
    let all = (0..NODES).map(|index| std::rc::Rc::new(member(index)));
    members.set(View::new(all.collect(), 1));
    let holder = distribution::Holder::default();
    let snapshot = config::Snapshot::whole(units::Version(1), Vec::new(), Vec::new());
    let snapshot = snapshot
        .expect("a configuration")
        .with_workspaces(workspaces.to_vec());
    assert!(holder.advance(snapshot.expect("a configuration")));
    let nodes = (0..NODES).map(|index| {
        let node = member(index).node;
        let link = network.link(node.clone(), address(index));
        let (mailbox, inbox) = kernel::mailbox(100);
        let mut router = peer::Router::default();
        let registered = router.register(Quotas::<fakes::Link>::PEER_NAME, mailbox);
        registered.expect("a free name");
        link.serve(router);
        let parts = Parts {
            node,
            link,
            members: members.clone(),
            joined: Box::new(|| true),
            holder: holder.clone(),
            settings: Settings::default(),
        };
        let quotas = Quotas::new(parts, inbox);
        Running {
            handle: quotas.handle(),
            dump: Box::new(quotas.dump()),
            counts: Box::new(quotas.counts()),
            _stop: {
                let (trigger, stop) = kernel::stop();
                compio::runtime::spawn(kernel::Service::run(quotas, stop)).detach();
                trigger
            },
        }
    });
    nodes.collect()
}

fn workspace(rate: f64) -> config::Workspace {
    config::Workspace {
        name: "w".into(),
        rate: units::Rate(rate),
        ..config::Workspace::default()
    }
}

async fn wait_until_granting(nodes: &[Running]) {
    let started = Instant::now();
    while !nodes.iter().all(|node| (node.dump)().granter.is_some()) {
        assert!(started.elapsed() < Duration::from_secs(10), "no granter");
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[compio::test]
async fn take_serves_requests_at_each_node_and_refuses_a_hot_workspace() {
    let network = fakes::Network::new(1);
    let nodes = open(&network, &[workspace(50.0)]);
    wait_until_granting(&nodes).await;
    let granting = nodes.iter().filter(|node| (node.dump)().granting);
    assert_eq!(granting.count(), 1);
    compio::time::sleep(Duration::from_secs(1)).await;
    for node in &nodes {
        let taken = node.handle.take("w", Duration::from_secs(1)).await;
        node.handle.give_back(taken.expect("a token"));
    }
    let mut refused = None;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(2) {
        let patience = Duration::from_millis(50);
        let takes = (0..50).map(|index| nodes[index % NODES].handle.take("w", patience));
        for taken in futures_util::future::join_all(takes).await {
            refused = refused.or(taken.err());
        }
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    // All of it falls into one window.
    assert!(started.elapsed() < Duration::from_secs(3));
    let most = Settings::default().terms().most(50.0, 0.0);
    let taken: u64 = nodes.iter().map(|node| (node.counts)().taken).sum();
    assert!(taken as f64 <= most, "{taken} above {most}");
}

#[compio::test]
async fn take_is_unavailable_where_more_than_half_cannot_be_reached() {
    let network = fakes::Network::new(1);
    network.cut(|_, _| true);
    let nodes = open(&network, &[workspace(50.0)]);
    compio::time::sleep(Duration::from_secs(3)).await;
    for node in &nodes {
        let taken = node.handle.take("w", Duration::from_millis(100)).await;
        assert!(matches!(taken, Err(Refusal::Unavailable)), "{taken:?}");
    }
}

#[compio::test]
async fn take_sends_no_message_and_counts_nothing_without_limits() {
    let network = fakes::Network::new(1);
    network.tally(|_, _| true);
    let nodes = open(&network, &[workspace(0.0)]);
    compio::time::sleep(Duration::from_secs(1)).await;
    for node in &nodes {
        for name in ["", "w", "other"] {
            let taken = node.handle.take(name, Duration::ZERO).await;
            assert!(taken.is_ok());
        }
        assert_eq!((node.counts)(), Counts::default());
    }
    assert_eq!(network.tallied(), 0);
    let unlimited = Handle::default().take("w", Duration::ZERO).await;
    assert!(unlimited.is_ok());
}
