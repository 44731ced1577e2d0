//! Backend servers that leave beside nodes that start anew.

use membership::Phase;

use crate::bench::{Mesh, announce, announce_as, patient, phase, state};

#[compio::test]
async fn backend_server_that_left_stays_out_after_a_restart_of_its_node() {
    let mut mesh = Mesh::start(5, 1, patient()).await;
    announce(&mesh.nodes[1], Phase::Draining).await;
    mesh.wait("draining", |node| phase(node, 1) == Some(Phase::Draining))
        .await;
    mesh.crash(1).await;
    mesh.add(1);
    // An old heartbeat comes late, before the node has joined.
    let restarted = mesh.nodes.last().expect("the restarted node");
    announce(restarted, Phase::Ready).await;
    mesh.wait("back", |node| {
        state(node, 1) == Some(membership::State::Alive)
    })
    .await;
    mesh.wait("still draining", |node| {
        phase(node, 1) == Some(Phase::Draining)
    })
    .await;
    let restarted = mesh.nodes.last().expect("the restarted node");
    let taken = announce(restarted, Phase::Ready).await;
    assert!(taken.departed);
    mesh.wait("draining after one more", |node| {
        phase(node, 1) == Some(Phase::Draining)
    })
    .await;
    // Its successor is used.
    let taken = announce_as(restarted, Phase::Ready, 2).await;
    assert!(!taken.departed);
    mesh.wait("ready", |node| phase(node, 1) == Some(Phase::Ready))
        .await;
}

#[compio::test]
async fn backend_server_is_back_with_its_stopped_node() {
    let mut mesh = Mesh::start(5, 1, patient()).await;
    let (done, told) = futures_channel::oneshot::channel();
    let command = membership::Command::Drain { done };
    mesh.nodes[1]
        .commands
        .send(command)
        .expect("a running service");
    told.await.expect("the end of the drain");
    mesh.wait("stopping", |node| phase(node, 1) == Some(Phase::Stopping))
        .await;
    mesh.crash(1).await;
    mesh.add(1);
    let restarted = mesh.nodes.last().expect("the restarted node");
    let taken = announce(restarted, Phase::Ready).await;
    assert!(!taken.departed);
    mesh.wait("ready", |node| phase(node, 1) == Some(Phase::Ready))
        .await;
}
