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
