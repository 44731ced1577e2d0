//! Leaving backend servers whose node restarts.

use membership::Phase;

use crate::harness::{Mesh, announce, announce_as, long_lease, phase, state};

#[compio::test]
async fn leaving_backend_server_stays_out_after_node_restart() {
    let mut mesh = Mesh::start(5, 1, long_lease()).await;
    announce(&mesh.nodes[1], Phase::Draining).await;
    mesh.wait("draining", |node| phase(node, 1) == Some(Phase::Draining))
        .await;
    mesh.crash(1).await;
    mesh.add(1);
    // A late announcement arrives before the node has joined.
    let restarted = mesh.nodes.last().expect("the restarted node");
    announce(restarted, Phase::Ready).await;
    mesh.wait("alive again", |node| {
        state(node, 1) == Some(membership::State::Alive)
    })
    .await;
    mesh.wait("still draining", |node| {
        phase(node, 1) == Some(Phase::Draining)
    })
    .await;
    let restarted = mesh.nodes.last().expect("the restarted node");
    let reply = announce(restarted, Phase::Ready).await;
    assert!(reply.leaving);
    mesh.wait("draining after another announcement", |node| {
        phase(node, 1) == Some(Phase::Draining)
    })
    .await;
    // The next instance of the backend server gets requests.
    let reply = announce_as(restarted, Phase::Ready, 2).await;
    assert!(!reply.leaving);
    mesh.wait("ready", |node| phase(node, 1) == Some(Phase::Ready))
        .await;
}

#[compio::test]
async fn drained_backend_server_returns_after_node_restart() {
    let mut mesh = Mesh::start(5, 1, long_lease()).await;
    let (done, receiver) = futures_channel::oneshot::channel();
    let command = membership::Command::Drain { done };
    mesh.nodes[1]
        .commands
        .send(command)
        .expect("a running service");
    receiver.await.expect("the end of the drain");
    mesh.wait("stopping", |node| phase(node, 1) == Some(Phase::Stopping))
        .await;
    mesh.crash(1).await;
    mesh.add(1);
    let restarted = mesh.nodes.last().expect("the restarted node");
    let reply = announce(restarted, Phase::Ready).await;
    assert!(!reply.leaving);
    mesh.wait("ready", |node| phase(node, 1) == Some(Phase::Ready))
        .await;
}
