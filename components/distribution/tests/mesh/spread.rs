//! Distribution under crossed and repeated pushes, gaps, lapsed watches and corrupt entries.

use std::time;

use distribution::{Accepted, Mode, Settings, Verdict};
use fakes::Faults;
use membership::View;

use crate::bench::{self, Bench};

fn is_accepted(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Accepted(Accepted { .. }))
}

#[compio::test]
async fn spread_all_nodes() {
    let bench = Bench::open(30, bench::quick());
    bench.converged(0).await;
    let calls = bench.store.counts();
    for n in 0..10_u64 {
        let node = &bench.nodes[usize::try_from(n).expect("small") * 3];
        assert!(is_accepted(
            &node.accept(bench::put(&format!("s{n}"))).await
        ));
        bench.converged(n + 1).await;
    }
    let writes = bench.store.counts().writes - calls.writes;
    assert_eq!(writes, 10, "one write a change");
    let watching = |node: &&bench::Running| node.handle.dump().watching;
    bench::until("watchers", || {
        bench.nodes.iter().filter(watching).count() == 2
    })
    .await;
    bench.close().await;
}

#[compio::test]
async fn spread_fault_cases() {
    let delay = time::Duration::from_millis(3);
    for (name, loss, delay) in [
        ("crossed", 0.0, delay),
        ("lossy", 0.3, time::Duration::ZERO),
        ("lossy and crossed", 0.2, delay),
    ] {
        let bench = Bench::open(12, bench::quick());
        bench.converged(0).await;
        bench.network.set_delay(delay);
        bench.network.set_loss(loss);
        let changes = (0..20).map(|n| {
            let node = &bench.nodes[n % 12];
            node.accept(bench::put(&format!("s{n}")))
        });
        let verdicts = futures_util::future::join_all(changes).await;
        let accepted = verdicts.iter().filter(|one| is_accepted(one)).count();
        assert!(accepted > 0, "{name}: {verdicts:?}");
        let entries = bench.store.peek("log/").len() as u64;
        bench.converged(entries).await;
        bench.close().await;
    }
}

#[compio::test]
async fn spread_watchers_gone() {
    let mut bench = Bench::open(8, bench::quick());
    bench.converged(0).await;
    let watching = |node: &&bench::Running| node.handle.dump().watching;
    bench::until("watchers", || {
        bench.nodes.iter().filter(watching).count() == 2
    })
    .await;
    // Both watchers die at once, and the survivors learn of it a little later.
    for _ in 0..2 {
        let is_watcher = |node: &bench::Running| node.handle.dump().watching;
        let place = bench.nodes.iter().position(is_watcher).expect("a watcher");
        bench.kill(place).await;
    }
    let verdict = bench.nodes[0].accept(bench::put("menus")).await;
    assert!(is_accepted(&verdict), "{verdict:?}");
    bench.converged(1).await;
    let members = bench.nodes.iter().map(|node| node.member.clone());
    bench.members.set(View::new(members.collect(), 2));
    let watching = |node: &&bench::Running| node.handle.dump().watching;
    bench::until("new watchers", || {
        bench.nodes.iter().filter(watching).count() == 2
    })
    .await;
    bench.close().await;
}

#[compio::test]
async fn spread_lapsed_watch() {
    let bench = Bench::open(3, bench::quick());
    let verdict = bench.nodes[0].accept(bench::put("menus")).await;
    assert!(is_accepted(&verdict));
    bench.converged(1).await;
    bench.store.set_faults(Faults {
        gone: true,
        ..Faults::default()
    });
    let verdict = bench.nodes[1].accept(bench::put("halls")).await;
    assert!(is_accepted(&verdict));
    bench.converged(2).await;
    bench.store.set_faults(Faults::default());
    bench.store.forget_history();
    let verdict = bench.nodes[2].accept(bench::put("rolls")).await;
    assert!(is_accepted(&verdict));
    bench.converged(3).await;
    bench.close().await;
}

#[compio::test]
async fn spread_corrupt_entry() {
    let bench = Bench::open(4, bench::quick());
    bench.converged(0).await;
    let bad = schema::config::Entry {
        version: 1,
        changes: vec![bench::put("menus").encode()],
        accepted_ms: 1,
        digest: 1,
    };
    for (name, value) in [
        ("wrong digest", prost::Message::encode_to_vec(&bad)),
        ("no entry", vec![255; 40]),
    ] {
        let key = "log/00000000000000000001".parse().expect("it is a key");
        bench.store.plant(&key, value);
        let watchers = || bench.nodes.iter().filter(|one| one.handle.dump().watching);
        bench::until(name, || {
            watchers().count() == 2 && watchers().all(|one| one.handle.refused().is_some())
        })
        .await;
        for node in &bench.nodes {
            assert_eq!(node.handle.holder().get().version().0, 0, "{name}");
        }
        let status = bench.nodes[0].status(1).await;
        assert_eq!(status.in_force, 0, "{name}");
        assert!(
            status.behind.iter().any(|one| !one.refused.is_empty()),
            "{name}"
        );
    }
    bench.close().await;
}

#[compio::test]
async fn status_counts() {
    let mut bench = Bench::open(40, bench::quick());
    bench.converged(0).await;
    let verdict = bench.nodes[0].accept(bench::put("menus")).await;
    assert!(is_accepted(&verdict));
    bench.converged(1).await;
    let status = bench.nodes[3].status(0).await;
    assert_eq!((status.version, status.nodes, status.in_force), (1, 40, 40));
    let dead = bench.kill(39).await;
    let status = bench.nodes[3].status(1).await;
    assert_eq!((status.nodes, status.in_force), (40, 39));
    let behind: Vec<_> = status.behind.iter().map(|one| one.node.as_str()).collect();
    assert_eq!(behind, [dead.node.as_str()]);
    bench.close().await;
}

#[compio::test]
async fn direct_mode() {
    let settings = Settings {
        mode: Mode::Direct,
        ..bench::quick()
    };
    let bench = Bench::open(10, settings);
    bench.converged(0).await;
    let verdict = bench.nodes[0].accept(bench::put("menus")).await;
    assert!(is_accepted(&verdict));
    bench.converged(1).await;
    let sent: u64 = bench.nodes.iter().map(|one| one.handle.counts().sent).sum();
    assert_eq!(sent, 0, "nodes exchange nothing");
    bench.close().await;
}
