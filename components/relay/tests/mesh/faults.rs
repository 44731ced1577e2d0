//! Tests with lost watchers and faults of the store and the network.

use crate::fleet::{Fleet, settings, wait_until};

/// Numbers of nodes and of data centres.
const SIZES: [(usize, usize); 3] = [(13, 4), (89, 4), (195, 6)];

#[compio::test]
async fn change_after_the_first_ranked_nodes_died() {
    for (nodes, centres) in SIZES {
        let mut fleet = Fleet::open(nodes, centres).await;
        for first in fleet.first_ranked() {
            fleet.kill(&first.node);
        }
        fleet.change_config();
        fleet.wait_for_config("first-ranked nodes killed").await;
    }
}

#[compio::test]
async fn change_after_all_watchers_died() {
    for (nodes, centres) in SIZES {
        let mut fleet = Fleet::open(nodes, centres).await;
        for watcher in fleet.watchers() {
            fleet.kill(&watcher.node);
        }
        fleet.change_config();
        fleet.wait_for_config("all watchers killed").await;
    }
}

#[compio::test]
async fn change_with_one_connected_watcher() {
    let fleet = Fleet::open(89, 4).await;
    for watcher in &fleet.watchers()[1..] {
        fleet.running(&watcher.node).store.disconnected.set(true);
    }
    fleet.change_config();
    fleet
        .wait_for_config("all but one watcher disconnected")
        .await;
}

#[compio::test]
async fn change_with_all_watchers_disconnected() {
    let fleet = Fleet::open(89, 4).await;
    for watcher in fleet.watchers() {
        fleet.running(&watcher.node).store.disconnected.set(true);
    }
    fleet.change_config();
    fleet.wait_for_config("all watchers disconnected").await;
}

#[compio::test]
async fn change_at_a_node_isolated_from_the_mesh() {
    let fleet = Fleet::open(13, 4).await;
    let watchers = fleet.watchers();
    let others = fleet.nodes.iter().map(|node| node.member.clone());
    let mut others =
        others.filter(|member| watchers.iter().all(|watcher| watcher.node != member.node));
    let isolated = others.next().expect("most nodes do not watch the store");
    let address = isolated.peer_address;
    fleet
        .network
        .cut(move |from, to| from == address || to == address);
    fleet.change_config();
    fleet.wait_for_config("node isolated from the mesh").await;
    fleet.network.heal();
    fleet.take_calls();
    fleet.change_config();
    fleet.wait_for_config("network restored").await;
    let intervals = settings().intervals();
    compio::time::sleep(intervals.stale_after * 2).await;
    let running = fleet.running(&isolated.node);
    running.store.calls.take();
    compio::time::sleep(intervals.stale_after).await;
    fleet.change_config();
    fleet
        .wait_for_config("change after the substitute stopped")
        .await;
    assert_eq!(
        running.store.calls.get(),
        0,
        "the node no longer watches the store"
    );
}

#[compio::test]
async fn change_during_a_network_partition() {
    let fleet = Fleet::open(89, 4).await;
    // Nodes with even and odd numbers cannot reach each other.
    fleet
        .network
        .cut(|from, to| (from.0.port() + to.0.port()) % 2 == 1);
    fleet.change_config();
    fleet.wait_for_config("network partition").await;
}

#[compio::test]
async fn listing_again_finds_a_change_missed_by_all_watches() {
    let fleet = Fleet::open(13, 4).await;
    let faults = fakes::Faults {
        silent_watches: true,
        ..fakes::Faults::default()
    };
    fleet.store.set_faults(faults);
    let head = fleet.change_config();
    let read = fleet.nodes[0].list_again().await;
    assert_eq!(read, head.0);
    fleet.wait_for_config("change forwarded by one node").await;
}

#[compio::test]
async fn outage_adds_one_call_of_each_node_in_the_time_of_a_change() {
    let fleet = Fleet::open(195, 6).await;
    fleet.wait_for_evidence("start").await;
    fleet.take_calls();
    let outage = fakes::Faults {
        outage: true,
        ..fakes::Faults::default()
    };
    fleet.store.set_faults(outage);
    // The change ends the waiting watches, and the following ones fail.
    fleet.change_config();
    compio::time::sleep(settings().apply.0).await;
    let watchers = fleet.watchers();
    let is_watcher = |node: &units::Node| watchers.iter().any(|watcher| watcher.node == *node);
    for node in &fleet.nodes {
        let calls = node.store.calls.get();
        let allowed = if is_watcher(&node.member.node) { 40 } else { 1 };
        let dump = (node.dump)();
        assert!(calls <= allowed, "{calls} calls of one node: {dump:?}");
    }
    fleet.store.set_faults(fakes::Faults::default());
    fleet.change_config();
    fleet.wait_for_config("change after the outage").await;
}

#[compio::test]
async fn compacted_history_is_listed_again() {
    let fleet = Fleet::open(13, 4).await;
    fleet.store.forget_history();
    fleet.change_config();
    fleet.store.forget_history();
    fleet.wait_for_config("history dropped").await;
}

#[compio::test]
async fn start_without_other_nodes_uses_the_stale_listing() {
    let fleet = Fleet::open_unsynced(1, 1, false);
    let running = &fleet.nodes[0];
    wait_until("configuration known before the watch starts", || {
        running.known_revision.get() > 0
    })
    .await;
    assert_eq!(
        running.store.calls.get(),
        0,
        "only the stale listing was read"
    );
    fleet.change_config();
    fleet.wait_for_config("watch started").await;
}

#[compio::test]
async fn restart_of_all_nodes_finds_the_newest_change() {
    let mut fleet = Fleet::open(89, 4).await;
    let nodes: Vec<_> = fleet
        .nodes
        .iter()
        .map(|running| running.member.node.clone())
        .collect();
    let members: Vec<_> = nodes.iter().map(|node| fleet.kill(node)).collect();
    fleet.change_config();
    for member in members {
        fleet.start(member);
    }
    wait_until("all nodes run", || fleet.nodes.len() == 89).await;
    fleet.wait_for_config("restart").await;
}

#[compio::test]
async fn change_reaches_nodes_whose_answers_take_longer_than_half_the_bound() {
    let fleet = Fleet::open(6, 2).await;
    fleet.network.set_delay(settings().apply.0 * 3 / 10);
    let cut_off = fleet
        .nodes
        .iter()
        .filter(|node| node.member.data_centre.to_string() == "dc1");
    cut_off.for_each(|node| node.store.disconnected.set(true));
    fleet.change_config();
    fleet.wait_for_config("slow links").await;
}
