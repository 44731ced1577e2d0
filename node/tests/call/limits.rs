//! Limits, deadlines, cancellation and drain.

use futures_util::future;
use membership::Phase;
use node::call::Settings;

use crate::backend::Backend;
use crate::caller::Caller;
use crate::fleet::{Fleet, service, until};

#[compio::test]
async fn slots_not_exceeded() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let fleet = Fleet::start(&[address]).await;
    let caller = Caller::open(fleet.nodes[0].callers).await;
    let sent = (0..40).map(|_| caller.send("POST", "/slow"));
    let got = future::join_all(sent).await;
    for one in &got {
        assert!(one.status == 200 || one.outcome == "not-run", "{one:?}");
    }
    let answered = got.iter().filter(|one| one.status == 200).count();
    assert_eq!(backend.runs("/slow"), answered);
    assert!(backend.most() <= 8, "{} ran at a time", backend.most());
    assert_eq!(fleet.violations(), 0);
}

#[compio::test]
async fn cancellation_reaches_server() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let mut fleet = Fleet::start(&[address]).await;
    for ingress in [0, fleet.add_ingress().await] {
        let address = fleet.nodes[ingress].callers;
        let leaving = compio::runtime::spawn(async move {
            let caller = Caller::open(address).await;
            caller.send("GET", "/stuck").await
        });
        until(|| backend.running() == 1).await;
        leaving.cancel().await;
        until(|| backend.running() == 0).await;
        until(|| fleet.nodes[0].owner.gate().dump().running == 0).await;
    }
}

#[compio::test]
async fn deadline_reaches_server() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let mut fleet = Fleet::start(&[address]).await;
    for ingress in [0, fleet.add_ingress().await] {
        let caller = Caller::open(fleet.nodes[ingress].callers).await;
        let headers = [("radishgap-deadline-ms", "100")];
        let got = caller.send_with("POST", "/stuck", &headers, b"").await;
        assert_eq!(
            (got.status, got.outcome.as_str()),
            (504, "unknown"),
            "{got:?}"
        );
        until(|| backend.running() == 0).await;
    }
    assert_eq!(backend.runs("/stuck"), 2);
}

#[compio::test]
async fn drain_gives_nothing_new() {
    let (one, other) = (Backend::default(), Backend::default());
    let (one_address, _one_stop) = one.start().await;
    let (other_address, _other_stop) = other.start().await;
    let mut fleet = Fleet::start(&[one_address, other_address]).await;
    let ingress = fleet.add_ingress().await;
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    let address = fleet.nodes[0].callers;
    let slow = compio::runtime::spawn(async move {
        let caller = Caller::open(address).await;
        future::join_all((0..4).map(|_| caller.send("GET", "/slow"))).await
    });
    until(|| one.running() + other.running() >= 2).await;
    fleet.announce(0, one_address, 1, Phase::Draining);
    let before = one.total();
    for _ in 0..20 {
        assert_eq!(caller.send("GET", "/menu").await.status, 200);
    }
    assert_eq!(one.total(), before);
    for got in slow.await.expect("no panic") {
        assert_eq!(got.status, 200, "{got:?}");
    }
}

#[compio::test]
async fn stopping_owner_refuses_truthfully() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let mut fleet = Fleet::start(&[address]).await;
    let ingress = fleet.add_ingress().await;
    fleet.nodes[0].owner.stop();
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    let got = caller.send("POST", "/book").await;
    assert_eq!(
        (got.status, got.outcome.as_str()),
        (503, "not-run"),
        "{got:?}"
    );
    assert_eq!(backend.total(), 0);
}

#[compio::test]
async fn baseline_retries_blindly() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let settings = Settings {
        baseline: true,
        ..Settings::default()
    };
    let fleet = Fleet::with(&[address], settings).await;
    let caller = Caller::open(fleet.nodes[0].callers).await;
    let got = caller.send("POST", "/fails").await;
    assert_eq!(got.status, 500);
    assert_eq!(backend.runs("/fails"), 4);
}

/// The ingress has not heard that the version is withheld; the owner has.
#[compio::test]
async fn withheld_version_refused_by_owner() {
    let (old, bad) = (Backend::default(), Backend::default());
    let (old_address, _old) = old.start().await;
    let (bad_address, _bad) = bad.start().await;
    let mut fleet = Fleet::start(&[old_address, bad_address]).await;
    let mut shared = service("menus");
    let mut second = shared.weights[0].clone();
    second.version = "v2".into();
    second.share = units::Share::from_parts(5_000).expect("half");
    shared.weights[0].share = second.share;
    shared.weights.push(second);
    fleet.put(vec![config::Put::Service(shared, None)]);
    fleet.announce_version(1, bad_address, 2, Phase::Ready, "v2");
    fleet.nodes[1].withheld.add("menus", "v2");
    let ingress = fleet.add_ingress().await;
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    for _ in 0..24 {
        let got = caller.send("POST", "/menu").await;
        assert_eq!(got.status, 200, "{got:?}");
    }
    assert_eq!((old.total(), bad.total()), (24, 0));
}

/// An owner that has refused a request at once is not asked again for it.
#[compio::test]
async fn refusal_is_not_asked_for_twice() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let mut fleet = Fleet::start(&[address]).await;
    let ingress = fleet.add_ingress().await;
    // The owner stops, and the ingress has not heard of it.
    fleet.nodes[0].owner.stop();
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    let got = caller.send("GET", "/menu").await;
    assert_eq!((got.status, got.outcome.as_str()), (503, "not-run"));
    assert_eq!(fleet.nodes[ingress].ingress.counts().attempts, 1);
}

#[test]
fn patience_by_age_of_node() {
    use std::time::{Duration, Instant};
    let started = Instant::now();
    let wait_policy = node::call::WaitPolicy::new(started);
    let ms = Duration::from_millis;
    let cases = [
        // Time since the start, time until an answer is wanted, time left, wait.
        (0, 300, 1_200, 600),
        (1_900, 300, 1_200, 600),
        (2_100, 400, 1_500, 50),
        (60_000, 400, 200, 25),
        (100, 0, 0, 0),
    ];
    for (age, wanted, left, wait) in cases {
        let waits = wait_policy.wait(started + ms(age), ms(wanted), ms(left));
        assert_eq!(waits, ms(wait), "{age} ms after the start");
    }
}
