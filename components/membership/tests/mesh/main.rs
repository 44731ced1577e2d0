//! Many members in one process under faults, over an in-memory network.

mod harness;
mod leaving;

use std::time;

use futures_channel::oneshot;
use membership::{Command, Phase, Settings, State};
use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use schema::membership as wire;

use harness::{
    Mesh, Node, POLL, TIMEOUT, address, announce, by_centre, fast, incarnation, long_lease,
    node_id, phase, sleep, state,
};

#[compio::test]
async fn start_by_centre() {
    let mesh = Mesh::start(12, 3, by_centre()).await;
    assert!(mesh.nodes.iter().all(|node| node.monitor.is_joined()));
}

#[compio::test]
async fn start_platform_down() {
    let mut mesh = Mesh::start(3, 1, long_lease()).await;
    mesh.store.set_faults(fakes::Faults {
        outage: true,
        ..fakes::Faults::default()
    });
    mesh.add(3);
    mesh.wait_all_alive().await;
}

#[compio::test]
async fn start_by_seed_objects_only() {
    let mut mesh = Mesh::start(3, 1, long_lease()).await;
    let started = time::Instant::now();
    while mesh.store.peek("seed/").is_empty() {
        assert!(started.elapsed() < TIMEOUT, "no seed object");
        sleep(POLL).await;
    }
    mesh.add_with(3, Vec::new());
    mesh.wait_all_alive().await;
}

#[compio::test]
async fn start_together_without_seeds() {
    let mut mesh = Mesh {
        network: fakes::Network::new(7),
        store: fakes::Store::default(),
        settings: Settings {
            seed_period: units::Period::from_secs(3600),
            ..long_lease()
        },
        centres: 6,
        nodes: Vec::new(),
    };
    for number in 0..6 {
        mesh.add_with(number, Vec::new());
    }
    mesh.wait_all_alive().await;
}

#[compio::test]
async fn missed_update_is_repaired() {
    let mesh = Mesh::start(6, 1, long_lease()).await;
    let cut = address(5);
    mesh.network.cut(move |from, to| from == cut || to == cut);
    announce(&mesh.nodes[0], Phase::Draining).await;
    let draining = |node: &Node| node.number == 5 || phase(node, 0) == Some(Phase::Draining);
    mesh.wait("draining", draining).await;
    mesh.network.heal();
    let draining = |node: &Node| phase(node, 0) == Some(Phase::Draining);
    mesh.wait("draining everywhere", draining).await;
    mesh.wait_all_alive().await;
}

#[compio::test]
async fn update_reaches_other_centres() {
    let mesh = Mesh::start(12, 3, by_centre()).await;
    announce(&mesh.nodes[7], Phase::Draining).await;
    mesh.wait("draining", |node| phase(node, 7) == Some(Phase::Draining))
        .await;
}

#[compio::test]
async fn packet_loss_leaves_all_alive() {
    let mesh = Mesh::start(8, 1, long_lease()).await;
    mesh.network.set_loss(0.2);
    sleep(time::Duration::from_secs(3)).await;
    mesh.network.set_loss(0.0);
    mesh.wait_all_alive().await;
}

#[compio::test]
async fn one_way_cut_is_covered_by_indirect_probes() {
    let mesh = Mesh::start(6, 1, long_lease()).await;
    let (one, other) = (address(2), address(4));
    mesh.network.cut(move |from, to| from == one && to == other);
    sleep(time::Duration::from_secs(3)).await;
    let accusations: u64 = mesh
        .nodes
        .iter()
        .map(|node| node.monitor.counts().accusations)
        .sum();
    let deaths: u64 = mesh
        .nodes
        .iter()
        .map(|node| node.monitor.counts().deaths)
        .sum();
    assert_eq!((accusations, deaths), (0, 0));
    mesh.wait_all_alive().await;
}

#[compio::test]
async fn unresponsive_member_dies_and_rejoins() {
    let mesh = Mesh::start(6, 1, long_lease()).await;
    let unresponsive = address(3);
    let before = incarnation(&mesh.nodes[0], 3);
    mesh.network
        .cut(move |from, to| from == unresponsive || to == unresponsive);
    let dead = |node: &Node| node.number == 3 || state(node, 3) == Some(State::Dead);
    mesh.wait("dead", dead).await;
    mesh.network.heal();
    mesh.wait_all_alive().await;
    mesh.wait("refuted", |node| incarnation(node, 3) > before)
        .await;
}

#[compio::test]
async fn isolated_member_raises_no_suspicion() {
    let mesh = Mesh::start(8, 1, long_lease()).await;
    let isolated = address(3);
    mesh.network
        .cut(move |from, to| from == isolated || to == isolated);
    let dead = |node: &Node| node.number == 3 || state(node, 3) == Some(State::Dead);
    mesh.wait("dead", dead).await;
    let own = mesh.nodes[3].monitor.counts();
    assert_eq!((own.accusations, own.deaths), (0, 0));
    let view = mesh.nodes[3].reader.get();
    assert_eq!(view.running().count(), 8, "its view must not be emptied");
    mesh.network.heal();
    mesh.wait_all_alive().await;
}

#[compio::test]
async fn process_pause_raises_no_suspicion() {
    let mesh = Mesh::start(6, 1, long_lease()).await;
    let before: Vec<_> = mesh
        .nodes
        .iter()
        .map(|node| node.monitor.counts())
        .collect();
    // Blocks the tasks of all members like a pause of the process.
    std::thread::sleep(time::Duration::from_secs(3));
    mesh.wait("pause detected", |node| node.monitor.counts().pauses > 0)
        .await;
    sleep(time::Duration::from_secs(2)).await;
    for (node, before) in mesh.nodes.iter().zip(before) {
        let counts = node.monitor.counts();
        assert_eq!(
            (counts.accusations, counts.deaths),
            (before.accusations, before.deaths)
        );
    }
    mesh.wait_all_alive().await;
}

#[compio::test]
async fn member_rejoins_after_long_pause() {
    let settings = Settings {
        retention: units::Period::from_secs(4),
        ..long_lease()
    };
    let mesh = Mesh::start(3, 1, settings).await;
    std::thread::sleep(time::Duration::from_secs(3));
    mesh.wait("pause detected", |node| node.monitor.counts().pauses > 0)
        .await;
    for node in &mesh.nodes {
        assert_eq!(
            node.reader.get().members().len(),
            3,
            "the old view stays until the node has rejoined"
        );
    }
    mesh.wait("joined", |node| node.monitor.is_joined()).await;
    mesh.wait_all_alive().await;
}

#[compio::test]
async fn mass_failure_keeps_backends() {
    let mut mesh = Mesh::start(12, 1, long_lease()).await;
    for number in 8..12 {
        mesh.network.crash(address(number));
    }
    for number in 8..12 {
        mesh.stop(number).await;
    }
    let suspect = |node: &Node| (8..12).all(|number| state(node, number) == Some(State::Suspect));
    mesh.wait("suspect", suspect).await;
    sleep(time::Duration::from_secs(6)).await;
    let kept = |node: &Node| (8..12).all(|number| phase(node, number) == Some(Phase::Ready));
    assert!(mesh.nodes.iter().all(|node| suspect(node) && kept(node)));
    for number in 8..12 {
        mesh.add(number);
    }
    mesh.wait_all_alive().await;
}

#[compio::test]
async fn restarted_centre_rejoins() {
    let mut mesh = Mesh::start(12, 3, by_centre()).await;
    let before = incarnation(&mesh.nodes[0], 4);
    for number in [1, 4, 7, 10] {
        mesh.crash(number).await;
    }
    for number in [1, 4, 7, 10] {
        mesh.add(number);
    }
    mesh.wait_all_alive().await;
    let fresh = |node: &Node| {
        [1, 4, 7, 10]
            .iter()
            .all(|number| phase(node, *number).is_none())
    };
    mesh.wait("without backends", fresh).await;
    mesh.wait("a higher incarnation", |node| incarnation(node, 4) > before)
        .await;
}

#[compio::test]
async fn split_heals() {
    for settings in [long_lease(), by_centre()] {
        let mesh = Mesh::start(12, 2, settings).await;
        let side = |address: units::Address| {
            address
                .0
                .ip()
                .to_string()
                .ends_with(['1', '3', '5', '7', '9'])
        };
        mesh.network.cut(move |from, to| side(from) != side(to));
        sleep(time::Duration::from_secs(5)).await;
        for node in &mesh.nodes {
            assert_eq!(
                node.reader.get().running().count(),
                12,
                "the view must not be emptied"
            );
        }
        announce(&mesh.nodes[0], Phase::Draining).await;
        mesh.network.heal();
        mesh.wait_all_alive().await;
        mesh.wait("draining", |node| phase(node, 0) == Some(Phase::Draining))
            .await;
    }
}

#[compio::test]
async fn unreachable_centre_is_suspect_until_it_recovers() {
    let mesh = Mesh::start(12, 3, by_centre()).await;
    let is_unreachable = |address: units::Address| {
        (0..12).any(|number| number % 3 == 1 && self::address(number) == address)
    };
    mesh.network
        .cut(move |from, to| is_unreachable(from) != is_unreachable(to));
    let suspect = |node: &Node| {
        let others = (0..12).filter(|number| (number % 3 == 1) != (node.number % 3 == 1));
        let mut states = others.map(|number| (state(node, number), phase(node, number)));
        states.all(|shown| shown == (Some(State::Suspect), Some(Phase::Ready)))
    };
    mesh.wait("suspect", suspect).await;
    mesh.network.heal();
    mesh.wait_all_alive().await;
}

#[compio::test]
async fn false_accusation_is_refuted() {
    let mesh = Mesh::start(5, 1, long_lease()).await;
    let before = incarnation(&mesh.nodes[0], 2);
    let link = mesh.network.link(node_id(99), address(99));
    let member = wire::Member {
        node: node_id(2).to_string(),
        data_centre: "centre-0".to_owned(),
        peer_address: address(2).to_string(),
        mesh_address: address(2).to_string(),
        incarnation: before,
        state: wire::member::State::Dead.into(),
        backend: None,
    };
    let update = wire::Update {
        member: Some(member),
        accuser: String::new(),
    };
    let updates = vec![update.clone(), update];
    let kind = wire::request::Kind::Gossip(wire::Gossip { updates });
    let request = wire::Request { kind: Some(kind) };
    for _ in 0..3 {
        let payload = request.encode_to_vec();
        let answer = peer::Link::call(&link, address(0), "membership", payload, TIMEOUT).await;
        assert_eq!(answer, Ok(Vec::new()));
    }
    mesh.wait("refuted", |node| incarnation(node, 2) > before)
        .await;
    mesh.wait_all_alive().await;
    mesh.wait("kept", |node| phase(node, 2) == Some(Phase::Ready))
        .await;
}

/// Arbitrary bytes are answered and do not change the view.
#[compio::test]
async fn request_arbitrary_bytes() {
    let mesh = Mesh::start(2, 1, long_lease()).await;
    let link = mesh.network.link(node_id(99), address(99));
    let mut rng = StdRng::seed_from_u64(11);
    for _ in 0..2_000 {
        let mut payload = vec![0; rng.random_range(0..200)];
        rng.fill(payload.as_mut_slice());
        // Half of them begin like a valid request.
        if let [kind, length, ..] = payload.as_mut_slice()
            && rng.random()
        {
            *kind = rng.random_range(1..7) << 3 | 2;
            *length = rng.random_range(0..120);
        }
        let answer = peer::Link::call(&link, address(0), "membership", payload, TIMEOUT).await;
        assert_ne!(answer, Err(peer::Error::Timeout));
    }
    assert_eq!(mesh.nodes[0].reader.get().members().len(), 2);
    mesh.wait_all_alive().await;
}

#[compio::test]
async fn stop_is_seen_as_left() {
    let mut mesh = Mesh::start(5, 1, long_lease()).await;
    mesh.stop(3).await;
    mesh.wait("left", |node| state(node, 3) == Some(State::Left))
        .await;
    mesh.add(3);
    mesh.wait_all_alive().await;
}

#[compio::test]
async fn drain_outlasts_announcements() {
    let mesh = Mesh::start(5, 1, long_lease()).await;
    let (done, receiver) = oneshot::channel();
    let command = Command::Drain { done };
    mesh.nodes[1]
        .commands
        .send(command)
        .expect("a running service");
    receiver.await.expect("the end of the drain");
    announce(&mesh.nodes[1], Phase::Ready).await;
    mesh.wait("stopping", |node| phase(node, 1) == Some(Phase::Stopping))
        .await;
}

#[compio::test]
async fn lease_expires() {
    let mut mesh = Mesh::start(4, 1, long_lease()).await;
    mesh.settings = fast();
    mesh.add(4);
    mesh.wait_all_alive().await;
    announce(&mesh.nodes[4], Phase::Ready).await;
    mesh.wait("ready", |node| phase(node, 4) == Some(Phase::Ready))
        .await;
    mesh.wait("gone", |node| phase(node, 4).is_none()).await;
    assert_eq!(mesh.nodes[4].monitor.counts().lapsed_leases, 1);
}

/// All members crash and restart at the same time; the seed objects still contain their addresses.
#[compio::test]
async fn restarted_members_merge_within_bound() {
    // Members have to be known to each other within two heartbeats of 1.5 s after a start.
    const BOUND: time::Duration = time::Duration::from_secs(3);
    let settings = Settings {
        seed_period: Settings::default().seed_period,
        ..fast()
    };
    let mut mesh = Mesh::start_and_crash(12, settings, time::Duration::from_secs(2)).await;
    for number in 0..12 {
        mesh.add_with(number, Vec::new());
    }
    let started = time::Instant::now();
    mesh.wait_all_alive().await;
    let took = started.elapsed();
    assert!(took <= BOUND, "it took {took:?}");
}

/// All members crash and only some restart, one after the other; the addresses of the others stay in the
/// seed objects.
#[compio::test]
async fn restart_with_stale_seeds() {
    // A quarter of the requests must be served 15 s after the start; merging takes up part of that time.
    const BOUND: time::Duration = time::Duration::from_millis(1_000);
    const RESTARTED: usize = 9;
    let settings = Settings {
        view_period: units::Period::from_millis(100),
        ..Settings::default()
    };
    let mut mesh = Mesh::start_and_crash(14, settings, time::Duration::from_secs(4)).await;
    for number in 0..RESTARTED {
        mesh.add_with(number, Vec::new());
        sleep(time::Duration::from_millis(15)).await;
    }
    let started = time::Instant::now();
    mesh.wait_all_alive().await;
    let took = started.elapsed();
    assert!(took <= BOUND, "it took {took:?}");
}

/// Starts `count` members without configured seeds, spread evenly over `spread`.
async fn start_within(count: usize, centres: usize, spread: time::Duration) -> Mesh {
    let mut mesh = Mesh {
        network: fakes::Network::new(7),
        store: fakes::Store::default(),
        settings: Settings::default(),
        centres,
        nodes: Vec::new(),
    };
    mesh.network.set_delay(time::Duration::from_millis(1));
    for number in 0..count {
        mesh.add_with(number, Vec::new());
        sleep(spread / u32::try_from(count).expect("a few")).await;
    }
    mesh.wait_all_alive().await;
    mesh
}

#[compio::test]
async fn start_of_many_writes_few_seeds() {
    const COUNT: u64 = 89;
    let mesh = start_within(89, 4, time::Duration::from_millis(300)).await;
    let counts = mesh.store.counts();
    // Each member lists at its start, and again if it found no other; a slow machine adds further checks.
    assert!(counts.lists <= COUNT * 3 / 2, "{counts:?}");
    assert!(counts.writes <= COUNT / 3, "{counts:?}");
}

/// Number of messages between data centres while the backend servers of eight members start draining.
async fn messages_between_centres(settings: Settings) -> u64 {
    const CENTRES: usize = 4;
    let mesh = Mesh::start(48, CENTRES, settings).await;
    let centre = |address: units::Address| usize::from(address.0.port()) % CENTRES;
    mesh.network
        .tally(move |from, to| centre(from) != centre(to));
    for node in &mesh.nodes[..8] {
        announce(node, Phase::Draining).await;
    }
    let draining = |node: &Node| (0..8).all(|number| phase(node, number) == Some(Phase::Draining));
    mesh.wait("all draining", draining).await;
    sleep(time::Duration::from_secs(1)).await;
    mesh.network.tallied()
}

#[compio::test]
async fn large_data_centres_exchange_few_messages() {
    let flat = Settings {
        centre_members: 1_000,
        ..long_lease()
    };
    let flat = messages_between_centres(flat).await;
    let by_centre = messages_between_centres(long_lease()).await;
    assert!(by_centre * 3 < flat, "{by_centre} of {flat} messages cross");
}
