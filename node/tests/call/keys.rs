//! Requests with idempotency keys.

use membership::{Phase, State};

use crate::backend::Backend;
use crate::caller::Caller;
use crate::fleet::Fleet;

async fn servers(count: usize) -> (Vec<Backend>, Vec<units::Address>, Vec<kernel::Trigger>) {
    let (mut backends, mut addresses, mut stops) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..count {
        let backend = Backend::default();
        let (address, stop) = backend.start().await;
        backends.push(backend);
        addresses.push(address);
        stops.push(stop);
    }
    (backends, addresses, stops)
}

fn runs(backends: &[Backend], path: &str) -> usize {
    backends.iter().map(|backend| backend.runs(path)).sum()
}

#[compio::test]
async fn resend_through_other_ingress() {
    let (backends, addresses, _stops) = servers(3).await;
    let fleet = Fleet::start(&addresses).await;
    for booking in 0..12 {
        let path = format!("/book/{booking}");
        let key = format!("key-{booking}");
        let headers = [("idempotency-key", key.as_str())];
        for node in &fleet.nodes {
            let caller = Caller::open(node.callers).await;
            let got = caller.send_with("POST", &path, &headers, b"seat 4").await;
            assert_eq!((got.status, got.outcome.as_str()), (200, "ran"), "{got:?}");
            assert_eq!(got.body.as_deref(), Some(b"seat 4".as_slice()));
        }
        assert_eq!(runs(&backends, &path), 1);
    }
    assert_eq!(fleet.violations(), 0);
}

#[compio::test]
async fn resend_while_first_runs() {
    let (backends, addresses, _stops) = servers(2).await;
    let fleet = Fleet::start(&addresses).await;
    let headers = [("idempotency-key", "one")];
    let (first, second) = (
        Caller::open(fleet.nodes[0].callers).await,
        Caller::open(fleet.nodes[1].callers).await,
    );
    let both = futures_util::future::join(
        first.send_with("POST", "/slow", &headers, b"x"),
        second.send_with("POST", "/slow", &headers, b"x"),
    );
    let (one, other) = both.await;
    assert_eq!((one.status, other.status), (200, 200));
    assert_eq!(runs(&backends, "/slow"), 1);
}

#[compio::test]
async fn resend_after_caller_left() {
    let (backends, addresses, _stops) = servers(2).await;
    let fleet = Fleet::start(&addresses).await;
    let address = fleet.nodes[0].callers;
    let leaving = compio::runtime::spawn(async move {
        let caller = Caller::open(address).await;
        let headers = [("idempotency-key", "two")];
        caller.send_with("POST", "/slow", &headers, b"").await
    });
    crate::fleet::until(|| runs(&backends, "/slow") == 1).await;
    leaving.cancel().await;
    let caller = Caller::open(fleet.nodes[1].callers).await;
    let headers = [("idempotency-key", "two"), ("idempotency-attempt", "2")];
    let got = caller.send_with("POST", "/slow", &headers, b"").await;
    assert_eq!((got.status, got.outcome.as_str()), (200, "ran"), "{got:?}");
    assert_eq!(runs(&backends, "/slow"), 1);
}

#[compio::test]
async fn key_of_another_request() {
    let (backends, addresses, _stops) = servers(1).await;
    let fleet = Fleet::start(&addresses).await;
    let caller = Caller::open(fleet.nodes[0].callers).await;
    let headers = [("idempotency-key", "three")];
    caller.send_with("POST", "/book", &headers, b"").await;
    let got = caller.send_with("POST", "/cancel", &headers, b"").await;
    assert_eq!((got.status, got.reason.as_str()), (422, "key-reused"));
    assert_eq!(runs(&backends, "/cancel"), 0);
}

/// Whatever the owner's end, no request with a key runs twice; without a record a resend is unknown.
#[compio::test]
async fn resend_after_owner_died() {
    for attempt in [None, Some("2")] {
        let (backends, addresses, _stops) = servers(3).await;
        let mut fleet = Fleet::start(&addresses).await;
        let ingress = fleet.add_ingress().await;
        let caller = Caller::open(fleet.nodes[ingress].callers).await;
        for booking in 0..9 {
            let path = format!("/book/{booking}");
            let key = format!("key-{booking}");
            let first = [("idempotency-key", key.as_str())];
            let got = caller.send_with("POST", &path, &first, b"").await;
            assert_eq!(got.status, 200, "{got:?}");
        }
        fleet.set_state(0, State::Dead);
        let mut unknown = 0;
        for booking in 0..9 {
            let path = format!("/book/{booking}");
            let key = format!("key-{booking}");
            let mut again = vec![("idempotency-key", key.as_str())];
            again.extend(attempt.map(|attempt| ("idempotency-attempt", attempt)));
            let got = caller.send_with("POST", &path, &again, b"").await;
            let recorded = got.status == 200 && got.outcome == "ran";
            assert!(recorded || got.outcome == "unknown", "{got:?}");
            unknown += u32::from(!recorded);
            assert_eq!(runs(&backends, &path), 1);
        }
        assert_eq!(unknown as usize, backends[0].total());
    }
}

#[compio::test]
async fn resend_after_owner_joined() {
    let (backends, addresses, _stops) = servers(3).await;
    let mut fleet = Fleet::start(&addresses[..2]).await;
    let ingress = fleet.add_ingress().await;
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    let send = async |booking: usize| {
        let path = format!("/book/{booking}");
        let key = format!("key-{booking}");
        let headers = [("idempotency-key", key.as_str())];
        let got = caller.send_with("POST", &path, &headers, b"").await;
        assert_eq!(got.status, 200, "{got:?}");
        assert_eq!(runs(&backends, &path), 1);
    };
    for booking in 0..9 {
        send(booking).await;
    }
    fleet.announce(ingress, addresses[2], 9, Phase::Ready);
    for booking in 0..18 {
        send(booking).await;
    }
    assert!(backends[2].total() > 0);
}

#[compio::test]
async fn first_sending_after_owner_died() {
    for attempt in [None, Some("1")] {
        send_first_after_death(attempt).await;
    }
}

async fn send_first_after_death(attempt: Option<&str>) {
    let (backends, addresses, _stops) = servers(3).await;
    let mut fleet = Fleet::start(&addresses).await;
    let ingress = fleet.add_ingress().await;
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    caller.send("GET", "/menu").await;
    fleet.set_state(0, State::Dead);
    for booking in 0..6 {
        let path = format!("/book/{booking}");
        let key = format!("key-{booking}");
        let mut headers = vec![("idempotency-key", key.as_str())];
        headers.extend(attempt.map(|attempt| ("idempotency-attempt", attempt)));
        let got = caller.send_with("POST", &path, &headers, b"").await;
        assert_eq!(got.status, 200, "{got:?}");
        assert_eq!(runs(&backends, &path), 1);
    }
}

/// The next-ranked owner knows what the restarted one has forgotten.
#[compio::test]
async fn resend_after_owner_restarted() {
    let (backends, addresses, _stops) = servers(2).await;
    let mut fleet = Fleet::start(&addresses).await;
    let ingress = fleet.add_ingress().await;
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    let send = async |booking: usize| {
        let path = format!("/book/{booking}");
        let key = format!("key-{booking}");
        let headers = [("idempotency-key", key.as_str())];
        let got = caller.send_with("POST", &path, &headers, b"").await;
        assert_eq!(runs(&backends, &path), 1, "{got:?}");
        got.outcome
    };
    for booking in 0..8 {
        assert_eq!(send(booking).await, "ran");
    }
    let ran = backends[0].total();
    // Longer than the slack with which an owner compares the age of its records.
    compio::time::sleep(std::time::Duration::from_millis(1_700)).await;
    fleet.restart(0, addresses[0]).await;
    let mut unknown = 0;
    for booking in 0..8 {
        unknown += usize::from(send(booking).await == "unknown");
    }
    assert_eq!(unknown, ran);
    for booking in 8..16 {
        assert_eq!(send(booking).await, "ran");
    }
}
