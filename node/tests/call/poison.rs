//! Requests that crash backend servers.

use membership::Phase;

use crate::caller::Caller;
use crate::fleet::Fleet;
use crate::script::{Act, Script};

#[compio::test]
async fn quarantine_after_two_crashes() {
    let crashing = [
        Script::start(&[Act::Close]).await,
        Script::start(&[Act::Close]).await,
        Script::start(&[Act::Close]).await,
    ];
    let addresses: Vec<_> = crashing.iter().map(|script| script.address).collect();
    let mut fleet = Fleet::start(&addresses).await;
    let ingress = fleet.add_ingress().await;
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    let mut last = String::new();
    for round in 0..6 {
        let got = caller.send_with("POST", "/poison", &[], b"same body").await;
        last = got.reason;
        for (index, address) in addresses.iter().enumerate() {
            fleet.announce(index, *address, 100 + round, Phase::Ready);
        }
    }
    let crashes: u32 = crashing.iter().map(|script| script.ran.get()).sum();
    assert_eq!((crashes, last.as_str()), (2, "quarantined"));
    let got = caller
        .send_with("POST", "/poison", &[], b"other body")
        .await;
    assert_eq!(
        (got.status, got.outcome.as_str()),
        (502, "unknown"),
        "{got:?}"
    );
}

/// The ingress retries faster than owners can tell each other.
#[compio::test]
async fn crash_retried_once_without_notices() {
    let crashing = [
        Script::start(&[Act::Close]).await,
        Script::start(&[Act::Close]).await,
        Script::start(&[Act::Close]).await,
    ];
    let addresses: Vec<_> = crashing.iter().map(|script| script.address).collect();
    let mut fleet = Fleet::start(&addresses).await;
    fleet.wire.cut();
    let ingress = fleet.add_ingress().await;
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    let got = caller.send("GET", "/poison").await;
    let crashes: u32 = crashing.iter().map(|script| script.ran.get()).sum();
    assert_eq!(
        (crashes, got.status, got.outcome.as_str()),
        (2, 502, "unknown")
    );
}

#[compio::test]
async fn neighbour_not_blamed() {
    // The first request crashes the server, all later ones are answered.
    let script = Script::start(&[Act::Close, Act::Answer]).await;
    let mut fleet = Fleet::start(&[script.address]).await;
    let caller = Caller::open(fleet.nodes[0].callers).await;
    let got = caller.send("POST", "/book").await;
    assert_eq!((got.status, got.outcome.as_str()), (502, "unknown"));
    fleet.announce(0, script.address, 2, Phase::Ready);
    for _ in 0..5 {
        let got = caller.send("POST", "/book").await;
        assert_eq!(got.status, 200, "{got:?}");
    }
    let dump = fleet.nodes[0].owner.dump();
    assert_eq!((dump.suspects, dump.gate.counts.admitted_alone), (0, 1));
}

/// Three backend servers that crash, two of which have, and a caller at an ingress of its own.
async fn crashed_twice(cut: bool) -> (Fleet, Vec<Script>, Caller) {
    let scripts = vec![
        Script::start(&[Act::Close]).await,
        Script::start(&[Act::Close]).await,
    ];
    let addresses: Vec<_> = scripts.iter().map(|script| script.address).collect();
    let mut fleet = Fleet::start(&addresses).await;
    if cut {
        fleet.wire.cut();
    }
    let ingress = fleet.add_ingress().await;
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    for round in 0..4 {
        caller.send_with("POST", "/poison", &[], b"same body").await;
        for (index, address) in addresses.iter().enumerate() {
            fleet.announce(index, *address, 100 + round, Phase::Ready);
        }
    }
    (fleet, scripts, caller)
}

/// Sends the request to a backend server that has joined since; returns how often it ran there.
async fn runs_at_newcomer(fleet: &mut Fleet, caller: &Caller, known: usize) -> u32 {
    let newcomer = Script::start(&[Act::Close]).await;
    let index = fleet.add_ingress().await;
    fleet.announce(index, newcomer.address, 1, Phase::Ready);
    for other in 0..known {
        fleet.announce(other, newcomer.address, 200, Phase::Draining);
    }
    for _ in 0..6 {
        for node in &fleet.nodes {
            node.ingress.maintain(std::time::Instant::now());
        }
        compio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    for round in 0..3 {
        caller.send_with("POST", "/poison", &[], b"same body").await;
        fleet.announce(index, newcomer.address, 300 + round, Phase::Ready);
    }
    newcomer.ran.get()
}

#[compio::test]
async fn quarantine_known_to_later_owner() {
    let (mut fleet, scripts, caller) = crashed_twice(false).await;
    let crashes: u32 = scripts.iter().map(|script| script.ran.get()).sum();
    assert_eq!(crashes, 2);
    assert_eq!(runs_at_newcomer(&mut fleet, &caller, 2).await, 0);
}

#[compio::test]
async fn quarantine_known_after_lost_notices() {
    let (mut fleet, _, caller) = crashed_twice(true).await;
    fleet.wire.mend();
    assert_eq!(runs_at_newcomer(&mut fleet, &caller, 2).await, 0);
}

/// A heartbeat that was sent before the crash and came after it took the suspicion back.
#[compio::test]
async fn crash_not_taken_back_by_a_late_heartbeat() {
    let script = Script::start(&[Act::Close, Act::Answer]).await;
    let mut fleet = Fleet::start(&[script.address]).await;
    let caller = Caller::open(fleet.nodes[0].callers).await;
    let got = caller.send("POST", "/poison").await;
    assert_eq!((got.status, got.outcome.as_str()), (502, "unknown"));
    compio::time::sleep(std::time::Duration::from_millis(350)).await;
    fleet.announce(0, script.address, 1, Phase::Ready);
    assert_eq!(fleet.nodes[0].owner.dump().suspects, 1);
    // An answer shows that it was the connection only.
    let got = caller.send("POST", "/book").await;
    assert_eq!(got.status, 200, "{got:?}");
    fleet.announce(0, script.address, 1, Phase::Ready);
    assert_eq!(fleet.nodes[0].owner.dump().suspects, 0);
}
