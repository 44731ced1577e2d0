//! Acceptance of changes under concurrent operators, lost responses and outages.

use config::{Put, Route};
use distribution::{Accepted, Command, Verdict};
use fakes::Faults;
use futures_util::future;

use crate::mesh::{self, Mesh};

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
    let mesh = Mesh::start(1, mesh::short_intervals());
    let change = mesh::put("menus");
    assert_eq!(mesh.nodes[0].accept(change.clone()).await, accepted(1));
    assert_eq!(mesh.nodes[0].accept(mesh::put("halls")).await, accepted(2));
    assert_eq!(mesh.nodes[0].accept(change).await, accepted(1));
    assert_eq!(mesh.store.peek("log/").len(), 2);
    mesh.close().await;
}

#[compio::test]
async fn accept_refused_cases() {
    let mesh = Mesh::start(2, mesh::short_intervals());
    let node = &mesh.nodes[0];
    assert_eq!(node.accept(mesh::put("menus")).await, accepted(1));
    mesh.wait_converged(1).await;
    let dangling = mesh::change(vec![route("late", "none")], Vec::new());
    let verdict = node.accept(dangling.clone()).await;
    assert!(matches!(verdict, Verdict::Refused(_)), "{verdict:?}");
    let expected = Some(units::Version(0));
    let stale = Put::Service(mesh::service("menus"), expected);
    let verdict = node.accept(mesh::change(vec![stale], Vec::new())).await;
    assert!(matches!(verdict, Verdict::Conflict(_)), "{verdict:?}");
    let settled = node.query_operation(dangling.operation).await;
    assert_eq!(settled, Verdict::Missing);
    assert_eq!(mesh.store.peek("log/").len(), 1);
    mesh.close().await;
}

#[compio::test]
async fn accept_reference_from_other_node() {
    let settings = distribution::Settings {
        mode: distribution::Mode::Direct,
        watch_pause: units::Period::from_secs(20),
        ..mesh::short_intervals()
    };
    let mesh = Mesh::start(2, settings);
    mesh.wait_converged(0).await;
    assert_eq!(mesh.nodes[0].accept(mesh::put("menus")).await, accepted(1));
    assert_eq!(mesh.nodes[0].accept(mesh::put("halls")).await, accepted(2));
    // The other node may not have received these changes yet; it must not refuse the reference.
    let change = mesh::change(vec![route("menus", "halls")], Vec::new());
    assert_eq!(mesh.nodes[1].accept(change).await, accepted(3));
    mesh.close().await;
}

#[compio::test]
async fn accept_dry_run() {
    let mesh = Mesh::start(1, mesh::short_intervals());
    let change = mesh::put("menus");
    let request = |change: config::Change| {
        mesh.nodes[0].request(|answer| Command::Accept {
            change,
            dry_run: true,
            answer,
        })
    };
    assert_eq!(request(change).await, Verdict::Valid);
    let dangling = mesh::change(vec![route("late", "none")], Vec::new());
    assert!(matches!(request(dangling).await, Verdict::Refused(_)));
    assert!(mesh.store.peek("log/").is_empty());
    mesh.close().await;
}

#[compio::test]
async fn accept_race_one_object() {
    let mesh = Mesh::start(5, mesh::short_intervals());
    mesh.wait_converged(0).await;
    let absent = Some(units::Version(0));
    let contenders = mesh.nodes.iter().map(|node| {
        let put = Put::Service(mesh::service("menus"), absent);
        node.accept(mesh::change(vec![put], Vec::new()))
    });
    let verdicts = future::join_all(contenders).await;
    let winners = verdicts.iter().filter_map(version_of).count();
    let conflicts = |verdict: &&Verdict| matches!(verdict, Verdict::Conflict(_));
    assert_eq!(winners, 1, "{verdicts:?}");
    assert_eq!(verdicts.iter().filter(conflicts).count(), 4, "{verdicts:?}");
    mesh.wait_converged(1).await;
    mesh.close().await;
}

#[compio::test]
async fn accept_race_many_objects() {
    let settings = distribution::Settings {
        accept_limit: units::Period::from_secs(20),
        ..mesh::short_intervals()
    };
    let mesh = Mesh::start(5, settings);
    let changes: Vec<_> = (0..40).map(|n| mesh::put(&format!("s{n}"))).collect();
    let requests = changes.iter().enumerate().map(|(n, change)| {
        let node = &mesh.nodes[n % mesh.nodes.len()];
        node.accept(change.clone())
    });
    let verdicts = future::join_all(requests).await;
    assert!(
        verdicts.iter().all(|one| version_of(one).is_some()),
        "{verdicts:?}"
    );
    let entries = mesh.store.peek("log/").len() as u64;
    assert!(entries <= 40, "concurrent changes share entries: {entries}");
    mesh.wait_converged(entries).await;
    let snapshot = mesh.nodes[0].handle.holder().get();
    assert_eq!(snapshot.services().len(), 40);
    for (change, verdict) in changes.iter().zip(&verdicts) {
        let settled = snapshot.settled(&change.operation).map(|version| version.0);
        assert_eq!(settled, version_of(verdict));
    }
    mesh.close().await;
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
    let lost_answer = Faults {
        lost_answers: 1,
        ..none()
    };
    let lost_request = Faults {
        lost_requests: 1,
        ..none()
    };
    let all_requests = Faults {
        lost_requests: 10_000,
        ..none()
    };
    let all_answers = Faults {
        lost_answers: 10_000,
        ..none()
    };
    for (name, faults, verdict, entries) in [
        ("outage before", outage, Verdict::Unavailable, 1),
        ("throttled", throttled, Verdict::Unavailable, 1),
        ("one answer lost", lost_answer, accepted(2), 2),
        ("one request lost", lost_request, accepted(2), 2),
        ("all requests lost", all_requests, Verdict::Unknown, 1),
        ("all answers lost", all_answers, accepted(2), 2),
    ] {
        let mesh = Mesh::start(1, mesh::short_intervals());
        let node = &mesh.nodes[0];
        assert_eq!(node.accept(mesh::put("menus")).await, accepted(1), "{name}");
        mesh.store.set_faults(faults);
        let change = mesh::put("halls");
        assert_eq!(node.accept(change.clone()).await, verdict, "{name}");
        assert_eq!(mesh.store.peek("log/").len(), entries, "{name}");
        mesh.store.set_faults(none());
        // A change that was not accepted can be submitted again under the same id.
        assert_eq!(node.accept(change.clone()).await, accepted(2), "{name}");
        assert_eq!(
            node.query_operation(change.operation).await,
            accepted(2),
            "{name}"
        );
        mesh.close().await;
    }
}

#[compio::test]
async fn accept_outage_after_send() {
    let mesh = Mesh::start(2, mesh::short_intervals());
    mesh.wait_converged(0).await;
    // The write takes effect, its response is lost, and the store stops responding.
    let store = mesh.store.clone();
    store.set_faults(Faults {
        lost_answers: 1,
        ..Faults::default()
    });
    let change = mesh::put("menus");
    let outage = async {
        mesh::wait_until("written", || store.faults().lost_answers == 0).await;
        store.set_faults(Faults {
            outage: true,
            ..Faults::default()
        });
    };
    let (verdict, ()) = future::join(mesh.nodes[0].accept(change.clone()), outage).await;
    let allowed = verdict == Verdict::Unknown || verdict == accepted(1);
    assert!(allowed, "{verdict:?}");
    store.set_faults(Faults::default());
    assert_eq!(
        mesh.nodes[1].query_operation(change.operation).await,
        accepted(1)
    );
    mesh.wait_converged(1).await;
    mesh.close().await;
}

#[compio::test]
async fn accept_place_of_removed_entry() {
    let settings = distribution::Settings {
        checkpoint_every: 4,
        ..mesh::short_intervals()
    };
    let mut mesh = Mesh::start(2, settings);
    mesh.wait_converged(0).await;
    // The second node loses its links and the store's events, as if it were paused.
    let paused = mesh.nodes[1].member.peer_address;
    mesh.network
        .cut(move |from, to| from == paused || to == paused);
    let other = mesh.store.clone();
    let paused_member = mesh.kill(1).await;
    let all_members = mesh.members.get().as_ref().clone();
    let remaining = vec![mesh.nodes[0].member.clone()];
    mesh.members.set(membership::View::new(remaining, 2));
    for n in 0..12 {
        let put = mesh::put(&format!("s{n}"));
        assert_eq!(mesh.nodes[0].accept(put).await, accepted(n + 1));
        if n % 4 == 3 {
            let written = n / 4 + 1;
            mesh::wait_until("checkpoint", || {
                mesh.nodes[0].handle.counts().archived >= written
            })
            .await;
        }
    }
    mesh::wait_until("pruned", || other.peek("log/").len() <= 8).await;
    // An entry that a paused node creates again after its removal must be ignored by all nodes.
    let recreated = schema::config::Entry {
        version: 1,
        changes: vec![mesh::put("ghost").encode()],
        accepted_ms: 1,
        digest: 1,
    };
    let key = "log/00000000000000000001"
        .parse()
        .expect("the key is valid");
    other.plant(&key, prost::Message::encode_to_vec(&recreated));
    mesh.network.heal();
    mesh.members.set(all_members);
    mesh.add(paused_member);
    mesh.wait_converged(12).await;
    assert!(
        mesh.nodes[1]
            .handle
            .holder()
            .get()
            .service("ghost")
            .is_none()
    );
    mesh.close().await;
}
