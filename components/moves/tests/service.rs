//! Tests of whole moves on a small mesh, with injected faults.

mod mesh;

use std::time;

use fakes::Faults;
use mesh::{Mesh, settings, wait_for};
use moves::{Refusal, Start};
use schema::operator::r#move::State;

const DEADLINE: time::Duration = time::Duration::from_secs(6);

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(test);
}

#[test]
fn move_good_version() {
    run(async {
        let mesh = Mesh::start(12, &settings()).await;
        let started = mesh
            .start_move(0, "op-1", DEADLINE)
            .await
            .expect("it starts");
        assert_eq!(started.id, "menus-1");
        mesh.wait("a share concentrated on every node", |mesh| {
            let mut nodes = mesh.nodes.iter();
            nodes.all(|node| node.focus.get("menus", "v2") == Some(1))
        })
        .await;
        let end = mesh.wait_for_end("menus-1").await;
        assert_eq!(end.state(), State::Done, "{}", end.reason);
        assert!(end.ended_ms <= end.deadline_ms);
        assert_eq!(mesh.shares(), [200, 500, 2_500, 5_000, 9_500, 10_000]);
        mesh.check(&end);
        assert!(
            mesh.nodes
                .iter()
                .all(|node| node.withheld.list().is_empty())
        );
    });
}

#[test]
fn move_bad_versions() {
    for (name, book, list, slowdown) in [
        ("fails", 0.5, 0.5, 1.0),
        ("fails on one route", 0.002, 0.3, 1.0),
        ("is slow", 0.002, 0.002, 4.0),
    ] {
        run(async {
            let mesh = Mesh::start(4, &settings()).await;
            {
                let mut behaviour = mesh.behaviour.borrow_mut();
                (behaviour.book, behaviour.list, behaviour.slowdown) = (book, list, slowdown);
            }
            mesh.start_move(1, "op-1", DEADLINE)
                .await
                .expect("it starts");
            let end = mesh.wait_for_end("menus-1").await;
            assert_eq!(end.state(), State::TakenBack, "{name}");
            assert!(!end.reason.is_empty(), "{name}");
            assert!(
                mesh.shares().iter().all(|share| *share <= 500),
                "{name}: {:?}",
                mesh.shares()
            );
            let weights = mesh.weights();
            assert_eq!(weights.len(), 1, "{name}: {weights:?}");
            mesh.wait("all nodes to withhold", |mesh| {
                mesh.nodes
                    .iter()
                    .all(|node| node.withheld.contains("menus", "v2"))
            })
            .await;
            mesh.check(&end);
        });
    }
}

#[test]
fn move_late_bad_at_full_share() {
    run(async {
        let mesh = Mesh::start(4, &settings()).await;
        mesh.start_move(0, "op-1", DEADLINE)
            .await
            .expect("it starts");
        mesh.wait("the full share", |mesh| {
            mesh.shares().last() == Some(&10_000)
        })
        .await;
        mesh.behaviour.borrow_mut().book = 0.6;
        let end = mesh.wait_for_end("menus-1").await;
        assert_eq!(end.state(), State::TakenBack);
        mesh.check(&end);
    });
}

#[test]
fn move_platform_down_during_badness() {
    run(async {
        let mesh = Mesh::start(6, &settings()).await;
        mesh.start_move(0, "op-1", time::Duration::from_secs(20))
            .await
            .expect("it starts");
        mesh.wait("a share", |mesh| !mesh.shares().is_empty()).await;
        mesh.store.set_faults(Faults {
            outage: true,
            ..Faults::default()
        });
        mesh.behaviour.borrow_mut().list = 1.0;
        mesh.wait("all nodes to withhold", |mesh| {
            mesh.nodes
                .iter()
                .all(|node| node.withheld.contains("menus", "v2"))
        })
        .await;
        let served = mesh.behaviour.borrow().served;
        compio::time::sleep(settings().lease.0 * 2).await;
        assert_eq!(
            mesh.behaviour.borrow().served,
            served,
            "requests after withholding"
        );
        let shown = mesh.show(3, "menus-1").await.expect("it is known");
        assert_eq!(shown.state(), State::Withheld);
        mesh.store.set_faults(Faults::default());
        let end = mesh.wait_for_end("menus-1").await;
        assert_eq!(end.state(), State::TakenBack);
        mesh.check(&end);
    });
}

#[test]
fn move_paused_runner_writes_nothing() {
    run(async {
        let mesh = Mesh::start(4, &settings()).await;
        mesh.start_move(0, "op-1", DEADLINE * 2)
            .await
            .expect("it starts");
        let runner = wait_for("a runner", async || {
            let shown = mesh.show(0, "menus-1").await.ok()?;
            let mut nodes = mesh.nodes.iter();
            nodes.position(|node| node.id.as_str() == shown.runner)
        })
        .await;
        mesh.nodes[runner].platform.pause_on_write();
        mesh.wait("a write held back", |mesh| {
            mesh.nodes[runner].platform.held_writes() > 0
        })
        .await;
        mesh.set_dead(runner, true);
        mesh.wait("another runner", |mesh| {
            mesh.sum(|counts| counts.claims) > 1
        })
        .await;
        let claimed = mesh.store.peek("move/").remove(0);
        mesh.nodes[runner].platform.resume();
        mesh.set_dead(runner, false);
        let end = mesh.wait_for_end("menus-1").await;
        assert_eq!(end.state(), State::Done, "{}", end.reason);
        assert_ne!(end.runner, mesh.nodes[runner].id.as_str());
        let shares = mesh.shares();
        assert!(shares.is_sorted(), "{shares:?}");
        let record = moves::Record::from_bytes(&claimed.value).expect("it is whole");
        assert_eq!(record.fence, 2);
        mesh.check(&end);
    });
}

#[test]
fn move_lost_answers() {
    run(async {
        let mesh = Mesh::start(4, &settings()).await;
        mesh.store.set_faults(Faults {
            lost_answers: 1,
            ..Faults::default()
        });
        let started = mesh
            .start_move(0, "op-1", DEADLINE)
            .await
            .expect("it starts");
        assert_eq!(started.id, "menus-1");
        for node in &mesh.nodes {
            node.platform.lose_writes(12);
        }
        let end = mesh.wait_for_end("menus-1").await;
        assert_eq!(end.state(), State::Done, "{}", end.reason);
        assert!(mesh.sum(|counts| counts.settled) > 0, "no answer was lost");
        mesh.check(&end);
    });
}

#[test]
fn start_repeated_and_raced() {
    run(async {
        let mesh = Mesh::start(4, &settings()).await;
        let (one, other) = futures_util::join!(
            mesh.start_move(0, "op-1", DEADLINE),
            mesh.start_move(3, "op-2", DEADLINE),
        );
        let results = [&one, &other];
        let refused = results
            .iter()
            .filter(|result| matches!(result, Err(Refusal::Running(_))));
        assert_eq!(refused.count(), 1, "{results:?}");
        let operation = if one.is_ok() { "op-1" } else { "op-2" };
        for node in 0..4 {
            let again = mesh
                .start_move(node, operation, DEADLINE)
                .await
                .expect("the same move");
            assert_eq!(again.id, "menus-1");
        }
        assert_eq!(mesh.store.peek("move/").len(), 1);
    });
}

#[test]
fn start_refusals() {
    run(async {
        let mesh = Mesh::start(4, &settings()).await;
        let start = |service: &str, from: &str, to: &str, deadline: time::Duration| Start {
            operation: units::Operation::random(),
            service: service.into(),
            from: from.into(),
            to: to.into(),
            deadline: units::Wall::now().after(deadline),
        };
        for (start, expected) in [
            (
                start("rosters", "v1", "v2", DEADLINE),
                "there is no service `rosters`",
            ),
            (start("menus", "v1", "v1", DEADLINE), "the same"),
            (start("menus", "v0", "v2", DEADLINE), "`v0` has no share"),
            (
                start("menus", "v1", "v3", DEADLINE),
                "no backend server of version `v3`",
            ),
            (
                start("menus", "v1", "v2", time::Duration::ZERO),
                "the earliest for these steps",
            ),
            (start("menus", "v1", "a b", DEADLINE), "`a b` is not"),
        ] {
            let refusal = mesh.start_with(0, start).await.expect_err(expected);
            assert!(refusal.to_string().contains(expected), "{refusal}");
        }
        mesh.store.set_faults(Faults {
            outage: true,
            ..Faults::default()
        });
        let refusal = mesh.start_move(0, "op-1", DEADLINE).await;
        assert_eq!(refusal, Err(Refusal::Unavailable));
        assert!(mesh.store.peek("move/").is_empty());
    });
}

#[test]
fn cancel_cases() {
    run(async {
        let mesh = Mesh::start(4, &settings()).await;
        assert!(matches!(
            mesh.cancel(0, "menus-1").await,
            Err(Refusal::NoMove(_))
        ));
        mesh.start_move(0, "op-1", DEADLINE)
            .await
            .expect("it starts");
        mesh.wait("a share", |mesh| !mesh.shares().is_empty()).await;
        mesh.wait("a node that knows it", |mesh| {
            !mesh.nodes[2].reader.dump().moves.is_empty()
        })
        .await;
        let cancelled = mesh.cancel(2, "menus-1").await.expect("it runs");
        assert_eq!(cancelled.state(), State::Withheld);
        let end = mesh.wait_for_end("menus-1").await;
        assert_eq!(
            (end.state(), end.reason.as_str()),
            (State::TakenBack, "cancelled")
        );
        assert!(matches!(
            mesh.cancel(1, "menus-1").await,
            Err(Refusal::Ended(_))
        ));
        mesh.check(&end);
        assert!(mesh.nodes[1].withheld.contains("menus", "v2"));
        let next = mesh
            .start_move(1, "op-2", DEADLINE)
            .await
            .expect("a new move of the version may start");
        assert_eq!(next.id, "menus-2");
        assert!(!mesh.nodes[1].withheld.contains("menus", "v2"));
    });
}

#[test]
fn cancel_racing_with_done() {
    run(async {
        let mesh = Mesh::start(4, &settings()).await;
        mesh.start_move(0, "op-1", DEADLINE)
            .await
            .expect("it starts");
        mesh.wait("the full share", |mesh| {
            mesh.shares().last() == Some(&10_000)
        })
        .await;
        let done = wait_for("the end, from one node or the other", async || {
            compio::time::sleep(time::Duration::from_millis(50)).await;
            let shown = mesh.show(0, "menus-1").await.ok()?;
            (shown.ended_ms > 0 || mesh.sum(|counts| counts.done) > 0).then_some(())
        });
        let (cancelled, ()) = futures_util::join!(
            async {
                // Most of the time left until the deadline is spent at the full share.
                compio::time::sleep(time::Duration::from_millis(600)).await;
                mesh.cancel(1, "menus-1").await
            },
            async {
                done.await;
            },
        );
        let end = mesh.wait_for_end("menus-1").await;
        match cancelled {
            Ok(_) => assert_eq!(end.state(), State::TakenBack),
            Err(refusal) => {
                assert!(matches!(refusal, Refusal::Ended(_)), "{refusal}");
                assert_eq!(end.state(), State::Done);
            }
        }
        mesh.check(&end);
    });
}

#[test]
fn move_without_traffic() {
    run(async {
        let mesh = Mesh::start(4, &settings()).await;
        mesh.behaviour.borrow_mut().requests = 0;
        let deadline = time::Duration::from_millis(1_800);
        mesh.start_move(0, "op-1", deadline)
            .await
            .expect("it starts");
        let end = mesh.wait_for_end("menus-1").await;
        assert_eq!(end.state(), State::TakenBack);
        assert!(
            end.reason.contains("0 requests to the new version"),
            "{}",
            end.reason
        );
        assert!(end.ended_ms <= end.deadline_ms);
        mesh.check(&end);
    });
}

#[test]
fn move_overridden_by_operator() {
    run(async {
        let mesh = Mesh::start(4, &settings()).await;
        mesh.start_move(0, "op-1", DEADLINE)
            .await
            .expect("it starts");
        mesh.wait("a share", |mesh| !mesh.shares().is_empty()).await;
        let _ = mesh.apply(&[("v1", 3_000), ("v2", 7_000)]);
        let end = mesh.wait_for_end("menus-1").await;
        assert_eq!(end.state(), State::TakenBack);
        assert!(end.reason.contains("operator"), "{}", end.reason);
        let weights = mesh.weights();
        let parts: Vec<_> = weights.iter().map(|weight| weight.share.parts()).collect();
        assert_eq!(parts, [3_000, 7_000], "the operator's shares stay");
        assert!(
            mesh.nodes
                .iter()
                .all(|node| node.withheld.list().is_empty())
        );
        mesh.check(&end);
    });
}

#[test]
fn move_crashing_backend() {
    run(async {
        let mesh = Mesh::start(4, &settings()).await;
        mesh.behaviour.borrow_mut().requests = 2;
        mesh.start_move(0, "op-1", DEADLINE)
            .await
            .expect("it starts");
        mesh.wait("a share", |mesh| !mesh.shares().is_empty()).await;
        let end = wait_for("the end", async || {
            mesh.set_backend(2, |backend| backend.instance += 1);
            compio::time::sleep(time::Duration::from_millis(100)).await;
            let shown = mesh.show(0, "menus-1").await.ok()?;
            (shown.ended_ms > 0).then_some(shown)
        })
        .await;
        assert_eq!(end.state(), State::TakenBack);
        assert!(
            end.reason.contains("crashes of backend servers"),
            "{}",
            end.reason
        );
    });
}
