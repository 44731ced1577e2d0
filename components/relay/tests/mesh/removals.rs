//! Removed objects, through watches, pulls and starts of nodes.

use crate::fleet::{Fleet, Running, wait_until};

const NAME: &str = "rollouts/marked";

fn plant(fleet: &Fleet) {
    let key = NAME.parse().expect("valid key");
    fleet.store.plant(&key, b"{}".to_vec());
}

async fn remove(fleet: &Fleet) {
    use platform::Store;
    let object = fleet.store.peek(NAME).remove(0);
    let removed = fleet.store.remove(&object.key, object.revision).await;
    removed.expect("store is available");
}

fn has_mark(node: &Running) -> bool {
    node.known_orders.borrow().iter().any(|key| key == NAME)
}

async fn wait_for_mark(fleet: &Fleet, present: bool, name: &str) {
    wait_until(name, || {
        fleet.nodes.iter().all(|node| has_mark(node) == present)
    })
    .await;
}

#[compio::test]
async fn removal_reaches_all_nodes() {
    let fleet = Fleet::open(13, 4).await;
    plant(&fleet);
    wait_for_mark(&fleet, true, "created").await;
    remove(&fleet).await;
    wait_for_mark(&fleet, false, "removed").await;
    plant(&fleet);
    wait_for_mark(&fleet, true, "created again").await;
}

#[compio::test]
async fn removal_while_watchers_are_disconnected() {
    let fleet = Fleet::open(13, 4).await;
    plant(&fleet);
    wait_for_mark(&fleet, true, "created").await;
    for watcher in fleet.watchers() {
        fleet.running(&watcher.node).store.disconnected.set(true);
    }
    remove(&fleet).await;
    wait_for_mark(&fleet, false, "removed").await;
}

#[compio::test]
async fn removal_at_a_node_that_was_cut_off() {
    let fleet = Fleet::open(13, 4).await;
    plant(&fleet);
    wait_for_mark(&fleet, true, "created").await;
    let watchers = fleet.watchers();
    let mut nodes = fleet.nodes.iter();
    let is_other = |node: &&Running| {
        watchers
            .iter()
            .all(|watcher| watcher.node != node.member.node)
    };
    let cut_off = nodes.find(is_other).expect("more nodes than watchers");
    let address = cut_off.member.peer_address;
    fleet
        .network
        .cut(move |from, to| from == address || to == address);
    cut_off.store.disconnected.set(true);
    remove(&fleet).await;
    fleet.store.forget_history();
    wait_until("others", || {
        let mut others = fleet.nodes.iter();
        others.all(|node| node.member.peer_address == address || !has_mark(node))
    })
    .await;
    assert!(has_mark(cut_off));
    fleet.network.heal();
    cut_off.store.disconnected.set(false);
    wait_for_mark(&fleet, false, "healed").await;
}

#[compio::test]
async fn mark_at_a_node_that_starts() {
    let mut fleet = Fleet::open(13, 4).await;
    plant(&fleet);
    wait_for_mark(&fleet, true, "created").await;
    let killed = fleet.watchers().remove(0);
    let member = fleet.kill(&killed.node);
    fleet.start(member.clone());
    wait_for_mark(&fleet, true, "started").await;
    let member = fleet.kill(&member.node);
    remove(&fleet).await;
    fleet.start(member);
    wait_for_mark(&fleet, false, "started after the removal").await;
}
