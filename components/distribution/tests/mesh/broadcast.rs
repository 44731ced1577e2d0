//! Distribution under concurrent and repeated pushes, gaps, expired watches and corrupt entries.

use std::time;

use distribution::{Accepted, Mode, Settings, Verdict};
use fakes::Faults;
use membership::View;

use crate::mesh::{self, Mesh};

fn is_accepted(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Accepted(Accepted { .. }))
}

#[compio::test]
async fn broadcast_all_nodes() {
    let mesh = Mesh::start(30, mesh::short_intervals());
    mesh.wait_converged(0).await;
    let calls = mesh.store.counts();
    for n in 0..10_u64 {
        let node = &mesh.nodes[usize::try_from(n).expect("small") * 3];
        assert!(is_accepted(&node.accept(mesh::put(&format!("s{n}"))).await));
        mesh.wait_converged(n + 1).await;
    }
    let writes = mesh.store.counts().writes - calls.writes;
    assert_eq!(writes, 10, "one write a change");
    let watching = |node: &&mesh::RunningNode| node.handle.dump().watching;
    mesh::wait_until("watchers", || {
        mesh.nodes.iter().filter(watching).count() == 2
    })
    .await;
    mesh.close().await;
}

#[compio::test]
async fn broadcast_fault_cases() {
    let delay = time::Duration::from_millis(3);
    for (name, loss, delay) in [
        ("crossed", 0.0, delay),
        ("lossy", 0.3, time::Duration::ZERO),
        ("lossy and crossed", 0.2, delay),
    ] {
        let mesh = Mesh::start(12, mesh::short_intervals());
        mesh.wait_converged(0).await;
        mesh.network.set_delay(delay);
        mesh.network.set_loss(loss);
        let changes = (0..20).map(|n| {
            let node = &mesh.nodes[n % 12];
            node.accept(mesh::put(&format!("s{n}")))
        });
        let verdicts = futures_util::future::join_all(changes).await;
        let accepted = verdicts.iter().filter(|one| is_accepted(one)).count();
        assert!(accepted > 0, "{name}: {verdicts:?}");
        let entries = mesh.store.peek("log/").len() as u64;
        mesh.wait_converged(entries).await;
        mesh.close().await;
    }
}

#[compio::test]
async fn broadcast_watchers_failed() {
    let mut mesh = Mesh::start(8, mesh::short_intervals());
    mesh.wait_converged(0).await;
    let watching = |node: &&mesh::RunningNode| node.handle.dump().watching;
    mesh::wait_until("watchers", || {
        mesh.nodes.iter().filter(watching).count() == 2
    })
    .await;
    // Both watchers fail at the same time; the membership view of the other nodes is updated later.
    for _ in 0..2 {
        let is_watcher = |node: &mesh::RunningNode| node.handle.dump().watching;
        let index = mesh.nodes.iter().position(is_watcher).expect("a watcher");
        mesh.kill(index).await;
    }
    let verdict = mesh.nodes[0].accept(mesh::put("menus")).await;
    assert!(is_accepted(&verdict), "{verdict:?}");
    mesh.wait_converged(1).await;
    let members = mesh.nodes.iter().map(|node| node.member.clone());
    mesh.members.set(View::new(members.collect(), 2));
    let watching = |node: &&mesh::RunningNode| node.handle.dump().watching;
    mesh::wait_until("new watchers", || {
        mesh.nodes.iter().filter(watching).count() == 2
    })
    .await;
    mesh.close().await;
}

#[compio::test]
async fn broadcast_expired_watch() {
    let mesh = Mesh::start(3, mesh::short_intervals());
    let verdict = mesh.nodes[0].accept(mesh::put("menus")).await;
    assert!(is_accepted(&verdict));
    mesh.wait_converged(1).await;
    mesh.store.set_faults(Faults {
        gone: true,
        ..Faults::default()
    });
    let verdict = mesh.nodes[1].accept(mesh::put("halls")).await;
    assert!(is_accepted(&verdict));
    mesh.wait_converged(2).await;
    mesh.store.set_faults(Faults::default());
    mesh.store.forget_history();
    let verdict = mesh.nodes[2].accept(mesh::put("rolls")).await;
    assert!(is_accepted(&verdict));
    mesh.wait_converged(3).await;
    mesh.close().await;
}

#[compio::test]
async fn broadcast_corrupt_entry() {
    let mesh = Mesh::start(4, mesh::short_intervals());
    mesh.wait_converged(0).await;
    let bad = schema::config::Entry {
        version: 1,
        changes: vec![mesh::put("menus").encode()],
        accepted_ms: 1,
        digest: 1,
    };
    for (name, value) in [
        ("wrong digest", prost::Message::encode_to_vec(&bad)),
        ("no entry", vec![255; 40]),
    ] {
        let key = "log/00000000000000000001"
            .parse()
            .expect("the key is valid");
        mesh.store.plant(&key, value);
        let watchers = || mesh.nodes.iter().filter(|one| one.handle.dump().watching);
        mesh::wait_until(name, || {
            watchers().count() == 2 && watchers().all(|one| one.handle.refused().is_some())
        })
        .await;
        for node in &mesh.nodes {
            assert_eq!(node.handle.holder().get().version().0, 0, "{name}");
        }
        let status = mesh.nodes[0].status(1).await;
        assert_eq!(status.in_force, 0, "{name}");
        assert!(
            status.behind.iter().any(|one| !one.refused.is_empty()),
            "{name}"
        );
    }
    mesh.close().await;
}

#[compio::test]
async fn status_counts() {
    let mut mesh = Mesh::start(40, mesh::short_intervals());
    mesh.wait_converged(0).await;
    let verdict = mesh.nodes[0].accept(mesh::put("menus")).await;
    assert!(is_accepted(&verdict));
    mesh.wait_converged(1).await;
    let status = mesh.nodes[3].status(0).await;
    assert_eq!((status.version, status.nodes, status.in_force), (1, 40, 40));
    let dead = mesh.kill(39).await;
    let status = mesh.nodes[3].status(1).await;
    assert_eq!((status.nodes, status.in_force), (40, 39));
    let behind: Vec<_> = status.behind.iter().map(|one| one.node.as_str()).collect();
    assert_eq!(behind, [dead.node.as_str()]);
    mesh.close().await;
}

#[compio::test]
async fn direct_mode() {
    let settings = Settings {
        mode: Mode::Direct,
        ..mesh::short_intervals()
    };
    let mesh = Mesh::start(10, settings);
    mesh.wait_converged(0).await;
    let verdict = mesh.nodes[0].accept(mesh::put("menus")).await;
    assert!(is_accepted(&verdict));
    mesh.wait_converged(1).await;
    let sent: u64 = mesh.nodes.iter().map(|one| one.handle.counts().sent).sum();
    assert_eq!(sent, 0, "nodes exchange nothing");
    mesh.close().await;
}
