//! Nodes that start, restart and return.

use distribution::Settings;
use fakes::Faults;

use crate::bench::{self, Bench};

async fn accept(bench: &Bench, names: std::ops::Range<usize>) {
    for n in names {
        let verdict = bench.nodes[0].accept(bench::put(&format!("s{n}"))).await;
        assert!(
            matches!(verdict, distribution::Verdict::Accepted(_)),
            "{verdict:?}"
        );
    }
}

#[compio::test]
async fn join_platform_down() {
    for (name, settings) in [
        ("entries", bench::quick()),
        (
            "checkpoint in parts",
            Settings {
                tail_entries: 2,
                part_size: units::Size(64),
                parts: units::Rate(2_000.0),
                ..bench::quick()
            },
        ),
    ] {
        let mut bench = Bench::open(4, settings);
        accept(&bench, 0..8).await;
        bench.converged(8).await;
        bench.store.set_faults(Faults {
            outage: true,
            ..Faults::default()
        });
        let member = bench.kill(3).await;
        bench.start(member);
        bench.converged(8).await;
        let adopted = bench.nodes[3].handle.counts().checkpoints;
        assert_eq!(adopted > 0, name == "checkpoint in parts", "{name}");
        bench.close().await;
    }
}

#[compio::test]
async fn join_never_lower() {
    let mut bench = Bench::open(4, bench::quick());
    bench.converged(0).await;
    accept(&bench, 0..3).await;
    bench.converged(3).await;
    // All others restart with nothing while the platform is down; one of them remembers nothing.
    bench.store.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let survivor = bench.nodes[0].member.peer_address;
    let mut restarted = Vec::new();
    while bench.nodes.len() > 1 {
        restarted.push(bench.kill(1).await);
    }
    bench
        .network
        .cut(move |from, to| from == survivor || to == survivor);
    for member in restarted {
        bench.start(member);
    }
    // They answer each other, but none of them is ready, so that none may serve.
    compio::time::sleep(std::time::Duration::from_millis(300)).await;
    assert!(bench.nodes[1..].iter().all(|one| !one.handle.ready()));
    bench.network.heal();
    bench.converged(3).await;
    bench.close().await;
}

#[compio::test]
async fn join_remembered() {
    let mut bench = Bench::open(3, bench::quick());
    bench.converged(0).await;
    accept(&bench, 0..2).await;
    bench.converged(2).await;
    // A node that once announced more than any other holds must not become ready with less.
    let member = bench.kill(2).await;
    for node in &bench.nodes {
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
        let link = bench.network.link(member.node.clone(), member.peer_address);
        let payload = prost::Message::encode_to_vec(&request);
        let limit = std::time::Duration::from_secs(5);
        let to = node.member.peer_address;
        let answer = peer::Link::call(&link, to, "distribution", payload, limit).await;
        answer.expect("the node answers");
    }
    bench.start(member);
    bench::until("holds what the others hold", || {
        bench.nodes[2].handle.dump().newest.0 == 2
    })
    .await;
    bench::until("asked again", || bench.nodes[2].handle.counts().sent > 20).await;
    assert!(!bench.nodes[2].handle.ready());
    let in_force = bench.nodes[2].handle.dump().version;
    assert_eq!(in_force.0, 0, "nothing comes in force before");
    accept(&bench, 2..5).await;
    bench.converged(5).await;
    bench.close().await;
}

#[compio::test]
async fn join_storm() {
    let settings = Settings {
        tail_entries: 1,
        ..bench::quick()
    };
    let mut bench = Bench::open(20, settings);
    accept(&bench, 0..5).await;
    bench.converged(5).await;
    let calls = bench.store.counts();
    while bench.nodes.len() > 2 {
        let member = bench.kill(2).await;
        bench.members.set(bench.members.get().as_ref().clone());
        drop(member);
    }
    for number in 0..20 {
        let member = bench::member(number);
        if bench.nodes.iter().all(|one| one.member.node != member.node) {
            bench.start(member);
        }
    }
    bench.converged(5).await;
    let lists = bench.store.counts().lists - calls.lists;
    assert!(lists <= 20, "joiners take their state from peers: {lists}");
    bench.close().await;
}
