//! Acceptance under racing operators, lost answers and outages.

use config::{Put, Route};
use distribution::{Accepted, Command, Verdict};
use fakes::Faults;
use futures_util::future;

use crate::bench::{self, Bench};

fn accepted(version: u64) -> Verdict {
    let version = units::Version(version);
    Verdict::Accepted(Accepted { version })
}

fn version_of(verdict: &Verdict) -> Option<u64> {
    match verdict {
        Verdict::Accepted(Accepted { version }) => Some(version.0),
        _ => None,
    }
}

fn route(name: &str, service: &str) -> Put {
    let route = Route {
        name: name.into(),
        host: "menus.example".into(),
        path_prefix: format!("/{name}").into(),
        service: service.into(),
        timeout: units::Period::from_secs(2),
        idempotency: config::Idempotency::ByMethod,
        max_body: units::Size(1024),
        revision: units::Version::default(),
        ..Route::default()
    };
    Put::Route(route, None)
}

#[compio::test]
async fn accept_repeated() {
    let bench = Bench::open(1, bench::quick());
    let change = bench::put("menus");
    assert_eq!(bench.nodes[0].accept(change.clone()).await, accepted(1));
    assert_eq!(
        bench.nodes[0].accept(bench::put("halls")).await,
        accepted(2)
    );
    assert_eq!(bench.nodes[0].accept(change).await, accepted(1));
    assert_eq!(bench.store.peek("log/").len(), 2);
    bench.close().await;
}

#[compio::test]
async fn accept_refused_cases() {
    let bench = Bench::open(2, bench::quick());
    let node = &bench.nodes[0];
    assert_eq!(node.accept(bench::put("menus")).await, accepted(1));
    bench.converged(1).await;
    let dangling = bench::change(vec![route("late", "none")], Vec::new());
    let verdict = node.accept(dangling.clone()).await;
    assert!(matches!(verdict, Verdict::Refused(_)), "{verdict:?}");
    let expected = Some(units::Version(0));
    let stale = Put::Service(bench::service("menus"), expected);
    let verdict = node.accept(bench::change(vec![stale], Vec::new())).await;
    assert!(matches!(verdict, Verdict::Conflict(_)), "{verdict:?}");
    let settled = node.settle(dangling.operation).await;
    assert_eq!(settled, Verdict::Missing);
    assert_eq!(bench.store.peek("log/").len(), 1);
    bench.close().await;
}

#[compio::test]
async fn accept_reference_from_other_node() {
    let settings = distribution::Settings {
        mode: distribution::Mode::Direct,
        watch_pause: units::Period::from_secs(20),
        ..bench::quick()
    };
    let bench = Bench::open(2, settings);
    bench.converged(0).await;
    assert_eq!(
        bench.nodes[0].accept(bench::put("menus")).await,
        accepted(1)
    );
    assert_eq!(
        bench.nodes[0].accept(bench::put("halls")).await,
        accepted(2)
    );
    // The other node may not have seen them yet; a refusal would be false.
    let change = bench::change(vec![route("menus", "halls")], Vec::new());
    assert_eq!(bench.nodes[1].accept(change).await, accepted(3));
    bench.close().await;
}

#[compio::test]
async fn accept_dry_run() {
    let bench = Bench::open(1, bench::quick());
    let change = bench::put("menus");
    let ask = |change: config::Change| {
        bench.nodes[0].ask(|answer| Command::Accept {
            change,
            dry_run: true,
            answer,
        })
    };
    assert_eq!(ask(change).await, Verdict::Valid);
    let dangling = bench::change(vec![route("late", "none")], Vec::new());
    assert!(matches!(ask(dangling).await, Verdict::Refused(_)));
    assert!(bench.store.peek("log/").is_empty());
    bench.close().await;
}

#[compio::test]
async fn accept_race_one_object() {
    let bench = Bench::open(5, bench::quick());
    bench.converged(0).await;
    let absent = Some(units::Version(0));
    let contenders = bench.nodes.iter().map(|node| {
        let put = Put::Service(bench::service("menus"), absent);
        node.accept(bench::change(vec![put], Vec::new()))
    });
    let verdicts = future::join_all(contenders).await;
    let winners = verdicts.iter().filter_map(version_of).count();
    let conflicts = |verdict: &&Verdict| matches!(verdict, Verdict::Conflict(_));
    assert_eq!(winners, 1, "{verdicts:?}");
    assert_eq!(verdicts.iter().filter(conflicts).count(), 4, "{verdicts:?}");
    bench.converged(1).await;
    bench.close().await;
}

#[compio::test]
async fn accept_race_many_objects() {
    let settings = distribution::Settings {
        accept_limit: units::Period::from_secs(20),
        ..bench::quick()
    };
    let bench = Bench::open(5, settings);
    let changes: Vec<_> = (0..40).map(|n| bench::put(&format!("s{n}"))).collect();
    let asked = changes.iter().enumerate().map(|(n, change)| {
        let node = &bench.nodes[n % bench.nodes.len()];
        node.accept(change.clone())
    });
    let verdicts = future::join_all(asked).await;
    assert!(
        verdicts.iter().all(|one| version_of(one).is_some()),
        "{verdicts:?}"
    );
    let entries = bench.store.peek("log/").len() as u64;
    assert!(entries <= 40, "concurrent changes share entries: {entries}");
    bench.converged(entries).await;
    let snapshot = bench.nodes[0].handle.holder().get();
    assert_eq!(snapshot.services().len(), 40);
    for (change, verdict) in changes.iter().zip(&verdicts) {
        let settled = snapshot.settled(&change.operation).map(|version| version.0);
        assert_eq!(settled, version_of(verdict));
    }
    bench.close().await;
}

#[compio::test]
async fn accept_fault_cases() {
    let none = Faults::default;
    let outage = Faults {
        outage: true,
        ..none()
    };
    let throttled = Faults {
        throttled: Some(std::time::Duration::from_millis(10)),
        ..none()
    };
    let answer = Faults {
        lost_answers: 1,
        ..none()
    };
    let request = Faults {
        lost_requests: 1,
        ..none()
    };
    let requests = Faults {
        lost_requests: 10_000,
        ..none()
    };
    let answers = Faults {
        lost_answers: 10_000,
        ..none()
    };
    for (name, faults, verdict, entries) in [
        ("outage before", outage, Verdict::Unavailable, 1),
        ("throttled", throttled, Verdict::Unavailable, 1),
        ("one answer lost", answer, accepted(2), 2),
        ("one request lost", request, accepted(2), 2),
        ("all requests lost", requests, Verdict::Unknown, 1),
        ("all answers lost", answers, accepted(2), 2),
    ] {
        let bench = Bench::open(1, bench::quick());
        let node = &bench.nodes[0];
        assert_eq!(
            node.accept(bench::put("menus")).await,
            accepted(1),
            "{name}"
        );
        bench.store.set_faults(faults);
        let change = bench::put("halls");
        assert_eq!(node.accept(change.clone()).await, verdict, "{name}");
        assert_eq!(bench.store.peek("log/").len(), entries, "{name}");
        bench.store.set_faults(none());
        // What was not accepted may be asked for again, under the same id.
        assert_eq!(node.accept(change.clone()).await, accepted(2), "{name}");
        assert_eq!(node.settle(change.operation).await, accepted(2), "{name}");
        bench.close().await;
    }
}

#[compio::test]
async fn accept_outage_after_send() {
    let bench = Bench::open(2, bench::quick());
    bench.converged(0).await;
    // The write takes effect, its answer is lost, and nothing answers from then on.
    let store = bench.store.clone();
    store.set_faults(Faults {
        lost_answers: 1,
        ..Faults::default()
    });
    let change = bench::put("menus");
    let outage = async {
        bench::until("written", || store.faults().lost_answers == 0).await;
        store.set_faults(Faults {
            outage: true,
            ..Faults::default()
        });
    };
    let (verdict, ()) = future::join(bench.nodes[0].accept(change.clone()), outage).await;
    let truthful = verdict == Verdict::Unknown || verdict == accepted(1);
    assert!(truthful, "{verdict:?}");
    store.set_faults(Faults::default());
    assert_eq!(bench.nodes[1].settle(change.operation).await, accepted(1));
    bench.converged(1).await;
    bench.close().await;
}

#[compio::test]
async fn accept_place_of_removed_entry() {
    let settings = distribution::Settings {
        checkpoint_every: 4,
        ..bench::quick()
    };
    let mut bench = Bench::open(2, settings);
    bench.converged(0).await;
    // The second node loses its links and the store's events, as if it was paused.
    let paused = bench.nodes[1].member.peer_address;
    bench
        .network
        .cut(move |from, to| from == paused || to == paused);
    let other = bench.store.clone();
    let sleeper = bench.kill(1).await;
    let both = bench.members.get().as_ref().clone();
    let awake = vec![bench.nodes[0].member.clone()];
    bench.members.set(membership::View::new(awake, 2));
    for n in 0..12 {
        let put = bench::put(&format!("s{n}"));
        assert_eq!(bench.nodes[0].accept(put).await, accepted(n + 1));
        if n % 4 == 3 {
            let written = n / 4 + 1;
            bench::until("checkpoint", || {
                bench.nodes[0].handle.counts().archived >= written
            })
            .await;
        }
    }
    bench::until("pruned", || other.peek("log/").len() <= 8).await;
    // An entry that a paused node creates in place of a removed one counts nowhere.
    let ghost = schema::config::Entry {
        version: 1,
        changes: vec![bench::put("ghost").encode()],
        accepted_ms: 1,
        digest: 1,
    };
    let key = "log/00000000000000000001".parse().expect("it is a key");
    other.plant(&key, prost::Message::encode_to_vec(&ghost));
    bench.network.heal();
    bench.members.set(both);
    bench.start(sleeper);
    bench.converged(12).await;
    assert!(
        bench.nodes[1]
            .handle
            .holder()
            .get()
            .service("ghost")
            .is_none()
    );
    bench.close().await;
}
