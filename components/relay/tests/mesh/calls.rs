//! Tests of the number of calls to the store, with fleets of several sizes.

use std::time::Duration;

use crate::fleet::{Fleet, settings, wait_until};

/// Numbers of nodes and of data centres.
const SIZES: [(usize, usize); 4] = [(13, 4), (89, 4), (195, 6), (300, 6)];

const WATCHERS: u32 = 3;

#[compio::test]
async fn calls_per_change_do_not_grow_with_the_fleet() {
    for (nodes, centres) in SIZES {
        let fleet = Fleet::open(nodes, centres).await;
        fleet.take_calls();
        for _ in 0..5 {
            fleet.change_config();
            fleet.wait_for_config("change").await;
        }
        // One answer and the next watch for each watcher, plus watches that end by their timeout.
        let calls = fleet.take_calls();
        assert!(calls <= WATCHERS * 5 * 3, "{calls} calls of {nodes} nodes");
    }
}

#[compio::test]
async fn calls_at_start_do_not_grow_with_the_fleet() {
    for (nodes, centres) in SIZES {
        let fleet = Fleet::open(nodes, centres).await;
        let calls = fleet.take_calls();
        // A list and a watch of both prefixes for each watcher, plus brief watches by nodes that receive the
        // first messages late.
        assert!(calls <= WATCHERS * 4 * 3, "{calls} calls of {nodes} nodes");
    }
}

#[compio::test]
async fn only_the_watchers_watch_and_all_receive_heartbeats() {
    for (nodes, centres) in SIZES {
        let fleet = Fleet::open(nodes, centres).await;
        let watchers = fleet.watchers();
        let watching = |node: &crate::fleet::Running| (node.dump)().watching;
        wait_until("only the watchers watch the store", || {
            fleet.nodes.iter().all(|node| {
                let is_watcher = watchers
                    .iter()
                    .any(|watcher| watcher.node == node.member.node);
                watching(node) == is_watcher
            })
        })
        .await;
        let stale = settings().intervals().stale_after.as_millis();
        wait_until("all nodes receive heartbeats", || {
            let ages = fleet.nodes.iter().map(|node| (node.dump)().age_ms);
            ages.max().is_some_and(|age| u128::from(age) < stale)
        })
        .await;
    }
}

#[compio::test]
async fn restart_of_one_node_makes_no_calls() {
    let mut fleet = Fleet::open(13, 4).await;
    let watchers = fleet.watchers();
    let others = fleet.nodes.iter().map(|node| node.member.node.clone());
    let mut others = others.filter(|node| watchers.iter().all(|watcher| watcher.node != *node));
    let node = others.next().expect("most nodes do not watch the store");
    let member = fleet.kill(&node);
    fleet.start(member);
    fleet.wait_for_config("restart").await;
    assert_eq!(fleet.running(&node).store.calls.get(), 0);
}

#[compio::test]
async fn large_configuration_arrives() {
    let fleet = Fleet::open(89, 4).await;
    let routes: Vec<u8> = (0..200_000_u32).flat_map(u32::to_be_bytes).collect();
    let key = "config/main".parse().expect("valid key");
    fleet.store.plant(&key, routes);
    fleet.wait_for_config("large configuration").await;
}

#[compio::test]
async fn burst_ends_with_the_newest_change() {
    let fleet = Fleet::open(89, 4).await;
    for _ in 0..20 {
        fleet.change_config();
        compio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet.wait_for_config("burst of changes").await;
}
