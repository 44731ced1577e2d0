//! Nodes that start beside a store that has come back from a copy.

use crate::fleet::Fleet;

#[compio::test]
async fn nodes_started_together_take_what_others_have_kept() {
    for kept in [1, 3] {
        let mut fleet = Fleet::open(kept, 1).await;
        fleet.put_version(1);
        fleet.wait_for_version("first", 1).await;
        let copy = fleet.store.copy();
        fleet.put_version(2);
        fleet.wait_for_version("second", 2).await;
        fleet.store.restore(copy);
        fleet.add(kept..kept + 5);
        fleet.wait_for_version("kept by others", 2).await;
    }
}

#[compio::test]
async fn nodes_take_what_the_store_has_where_none_has_kept_more() {
    let mut fleet = Fleet::open(3, 1).await;
    fleet.put_version(1);
    fleet.wait_for_version("first", 1).await;
    let copy = fleet.store.copy();
    fleet.store.restore(copy);
    for node in ["n0", "n1", "n2"] {
        fleet.kill(&node.parse().expect("valid ID"));
    }
    fleet.add(3..6);
    fleet.wait_for_version("of the store", 1).await;
}
