//! Tests of what counts as evidence that the state of a node is complete.

use std::rc;
use std::time::{Duration, Instant};

use membership::Member;
use peer::Link as _;
use prost::Message;
use schema::relay as wire;

use crate::fleet::{CONFIG, Fleet, ROLLOUTS, settings, wait_until};

/// Members that do not watch the store while there are no faults.
fn others(fleet: &Fleet) -> Vec<rc::Rc<Member>> {
    let watchers = fleet.watchers();
    let members = fleet.nodes.iter().map(|node| node.member.clone());
    let others =
        members.filter(|member| watchers.iter().all(|watcher| watcher.node != member.node));
    others.collect()
}

/// Waits until all nodes have the newest configuration; it has to be in force within `apply`.
async fn wait_in_time(fleet: &Fleet, name: &str) {
    let changed = Instant::now();
    fleet.wait_for_config(name).await;
    let took = changed.elapsed();
    assert!(took <= settings().apply.0, "{name}: took {took:?}");
}

#[compio::test]
async fn silence_of_the_store_to_nine_of_ten_nodes_delays_no_change() {
    for nodes in [13, 89] {
        let fleet = Fleet::open(nodes, 4).await;
        // The watches start over, so that none of them ends soon.
        fleet.change_config();
        fleet.wait_for_config("change before the silence").await;
        compio::time::sleep(Duration::from_millis(200)).await;
        let reached = nodes.div_ceil(10);
        let silent = fleet.watchers().into_iter().chain(others(&fleet));
        for member in silent.take(nodes - reached) {
            fleet.running(&member.node).store.disconnected.set(true);
        }
        fleet.change_config();
        wait_in_time(&fleet, &format!("silence, {nodes} nodes")).await;
    }
}

#[compio::test]
async fn push_that_cannot_be_applied_is_no_evidence() {
    let fleet = Fleet::open(2, 1).await;
    for node in &fleet.nodes {
        node.store.disconnected.set(true);
    }
    wait_until("all evidence is old", || {
        fleet.nodes.iter().all(|node| (node.dump)().age_ms > 1_000)
    })
    .await;
    let receiver = &fleet.nodes[1].member;
    let link = fleet.network.link(
        fleet.nodes[0].member.node.clone(),
        fleet.nodes[0].member.peer_address,
    );
    let ahead = fleet.head() + 1;
    let part = |prefix: &str| wire::Part {
        prefix: prefix.to_owned(),
        after: ahead,
        head: ahead,
        objects: Vec::new(),
    };
    let push = wire::Push {
        parts: vec![part(CONFIG), part(ROLLOUTS)],
        ..wire::Push::default()
    };
    let request = wire::Request {
        kind: Some(wire::request::Kind::Push(push)),
    };
    let sent = link
        .call(
            receiver.peer_address,
            "relay",
            request.encode_to_vec(),
            Duration::from_secs(1),
        )
        .await;
    assert!(sent.is_ok(), "the push arrives");
    let age = (fleet.running(&receiver.node).dump)().age_ms;
    assert!(age > 500, "the node counts as complete, {age} ms old");
}

#[compio::test]
async fn own_report_does_not_end_a_substitute() {
    let fleet = Fleet::open(13, 4).await;
    for watcher in fleet.watchers() {
        fleet.running(&watcher.node).store.disconnected.set(true);
    }
    let watches = || {
        let others = others(&fleet).into_iter();
        others
            .map(|other| (fleet.running(&other.node).dump)().counts.watches)
            .sum::<u64>()
    };
    wait_until("a substitute watches the store", || watches() > 0).await;
    compio::time::sleep(settings().intervals().stale_after).await;
    let before = watches();
    compio::time::sleep(settings().apply.0).await;
    assert_eq!(watches(), before, "substitutes start again and again");
}

#[compio::test]
async fn silent_store_keeps_no_change_of_the_feed_from_a_reader() {
    let fleet = Fleet::open(13, 4).await;
    let reader = fleet.running(&others(&fleet)[0].node);
    reader.store.disconnected.set(true);
    let before = fleet.head();
    let changed = async {
        compio::time::sleep(Duration::from_millis(200)).await;
        fleet.change_config().0
    };
    let (read, head) = futures_util::future::join(reader.list_again(), changed).await;
    assert!(head > before);
    assert_eq!(read, head);
}

#[compio::test]
async fn slow_link_keeps_no_missed_change_from_a_node() {
    let fleet = Fleet::open(13, 4).await;
    let node = others(&fleet)[0].clone();
    fleet.running(&node.node).store.disconnected.set(true);
    let address = node.peer_address;
    fleet.network.cut(move |_, to| to == address);
    fleet.change_config();
    let head = fleet.head();
    wait_until("the others have the first change", || {
        let known = |running: &crate::fleet::Running| running.known_revision.get();
        let others = fleet
            .nodes
            .iter()
            .filter(|running| running.member.node != node.node);
        others.map(known).all(|known| known == head)
    })
    .await;
    fleet.network.heal();
    // There and back take longer than a node waits before it asks another one.
    let one_way = settings().intervals().answer_timeout.mul_f64(0.6);
    fleet.network.set_delay(one_way);
    fleet.change_config();
    wait_in_time(&fleet, "slow link").await;
}

#[compio::test]
async fn full_feed_is_asked_for_until_it_has_come() {
    let fleet = Fleet::open(13, 4).await;
    let node = others(&fleet)[0].clone();
    let running = fleet.running(&node.node);
    running.store.disconnected.set(true);
    let kept = fleet.head();
    let address = node.peer_address;
    fleet
        .network
        .cut(move |from, to| from == address || to == address);
    // More changes than the deltas that are kept.
    for _ in 0..20 {
        fleet.change_config();
        compio::time::sleep(Duration::from_millis(60)).await;
    }
    assert_eq!(running.known_revision.get(), kept);
    fleet.network.set_loss(0.5);
    fleet.network.heal();
    fleet.change_config();
    fleet.wait_for_config("full feed over a lossy link").await;
}
