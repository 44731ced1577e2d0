//! Joining of nodes at start and after restarts.

use distribution::Settings;
use fakes::Faults;

use crate::mesh::{self, Mesh};

async fn accept(mesh: &Mesh, names: std::ops::Range<usize>) {
    for n in names {
        let verdict = mesh.nodes[0].accept(mesh::put(&format!("s{n}"))).await;
        assert!(
            matches!(verdict, distribution::Verdict::Accepted(_)),
            "{verdict:?}"
        );
    }
}

#[compio::test]
async fn join_platform_down() {
    for (name, settings) in [
        ("entries", mesh::short_intervals()),
        (
            "checkpoint in parts",
            Settings {
                tail_entries: 2,
                part_size: units::Size(64),
                parts: units::Rate(2_000.0),
                ..mesh::short_intervals()
            },
        ),
    ] {
        let mut mesh = Mesh::start(4, settings);
        accept(&mesh, 0..8).await;
        mesh.wait_converged(8).await;
        mesh.store.set_faults(Faults {
            outage: true,
            ..Faults::default()
        });
        let member = mesh.kill(3).await;
        mesh.add(member);
        mesh.wait_converged(8).await;
        let adopted = mesh.nodes[3].handle.counts().checkpoints;
        assert_eq!(adopted > 0, name == "checkpoint in parts", "{name}");
        mesh.close().await;
    }
}

#[compio::test]
async fn join_never_lower() {
    let mut mesh = Mesh::start(4, mesh::short_intervals());
    mesh.wait_converged(0).await;
    accept(&mesh, 0..3).await;
    mesh.wait_converged(3).await;
    // All other nodes restart without state while the platform is down; the survivor is cut off from them.
    mesh.store.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let survivor = mesh.nodes[0].member.peer_address;
    let mut restarted = Vec::new();
    while mesh.nodes.len() > 1 {
        restarted.push(mesh.kill(1).await);
    }
    mesh.network
        .cut(move |from, to| from == survivor || to == survivor);
    for member in restarted {
        mesh.add(member);
    }
    // The restarted nodes reply to each other, but none is ready, so none may serve.
    compio::time::sleep(std::time::Duration::from_millis(300)).await;
    assert!(mesh.nodes[1..].iter().all(|one| !one.handle.ready()));
    mesh.network.heal();
    mesh.wait_converged(3).await;
    mesh.close().await;
}

#[compio::test]
async fn join_remembered() {
    let mut mesh = Mesh::start(3, mesh::short_intervals());
    mesh.wait_converged(0).await;
    accept(&mesh, 0..2).await;
    mesh.wait_converged(2).await;
    // A node must not become ready with a lower version than it once announced.
    let member = mesh.kill(2).await;
    for node in &mesh.nodes {
        let standing = schema::distribution::Standing {
            version: 5,
            ready: true,
            started_ms: units::Wall::now().0,
        };
        let request = schema::distribution::Request {
            kind: Some(schema::distribution::request::Kind::Compare(
                schema::distribution::Compare::default(),
            )),
            sender: Some(standing),
        };
        let link = mesh.network.link(member.node.clone(), member.peer_address);
        let payload = prost::Message::encode_to_vec(&request);
        let limit = std::time::Duration::from_secs(5);
        let to = node.member.peer_address;
        let answer = peer::Link::call(&link, to, "distribution", payload, limit).await;
        answer.expect("the node answers");
    }
    mesh.add(member);
    mesh::wait_until("holds what the others hold", || {
        mesh.nodes[2].handle.dump().newest.0 == 2
    })
    .await;
    mesh::wait_until("queried again", || mesh.nodes[2].handle.counts().sent > 20).await;
    assert!(!mesh.nodes[2].handle.ready());
    let in_force = mesh.nodes[2].handle.dump().version;
    assert_eq!(in_force.0, 0, "nothing comes in force before");
    accept(&mesh, 2..5).await;
    mesh.wait_converged(5).await;
    mesh.close().await;
}

#[compio::test]
async fn join_storm() {
    let settings = Settings {
        tail_entries: 1,
        ..mesh::short_intervals()
    };
    let mut mesh = Mesh::start(20, settings);
    accept(&mesh, 0..5).await;
    mesh.wait_converged(5).await;
    let calls = mesh.store.counts();
    while mesh.nodes.len() > 2 {
        let member = mesh.kill(2).await;
        mesh.members.set(mesh.members.get().as_ref().clone());
        drop(member);
    }
    for number in 0..20 {
        let member = mesh::member(number);
        if mesh.nodes.iter().all(|one| one.member.node != member.node) {
            mesh.add(member);
        }
    }
    mesh.wait_converged(5).await;
    let lists = mesh.store.counts().lists - calls.lists;
    assert!(lists <= 20, "joiners take their state from peers: {lists}");
    mesh.close().await;
}
