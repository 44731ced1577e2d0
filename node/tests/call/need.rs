//! Backend servers in need: what they say of themselves in their answers.

use std::time::{Duration, Instant};

use futures_util::future;
use membership::Phase;
use node::call::{BackendStatus, Settings};

use crate::backend::Backend;
use crate::caller::Caller;
use crate::fleet::Fleet;

/// Most requests that a backend server with the limit `rate` may get in a time of `elapsed`.
fn allowed(rate: f64, elapsed: Duration) -> f64 {
    1.5 * rate * elapsed.as_secs_f64().max(4.0) + 5.0
}

#[compio::test]
async fn limit_named_by_backend_server_is_kept() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let mut fleet = Fleet::start(&[address]).await;
    let other = fleet.add_ingress().await;
    backend.say("radishgap-rate-limit", "5");
    let callers = [0, other].map(|node| fleet.nodes[node].callers);
    let [one, other] = callers.map(Caller::open);
    let (one, other) = (one.await, other.await);
    for caller in [&one, &other] {
        assert_eq!(caller.send("GET", "/menu").await.status, 200);
    }
    let (started, before) = (Instant::now(), backend.total());
    for _ in 0..10 {
        let sent = (0..8).map(|index| {
            let caller = if index % 2 == 0 { &one } else { &other };
            caller.send("GET", "/menu")
        });
        for got in future::join_all(sent).await {
            assert!(got.status == 200 || got.outcome == "not-run", "{got:?}");
        }
    }
    let (got, most) = (backend.total() - before, allowed(5.0, started.elapsed()));
    assert!(
        u32::try_from(got)
            .map(f64::from)
            .is_ok_and(|got| got <= most),
        "{got} of {most}"
    );
}

#[compio::test]
async fn limit_known_to_owner_that_starts_anew() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let mut settings = Settings::default();
    settings.admission.adaptive = false;
    let mut fleet = Fleet::with(&[address], settings).await;
    let ingress = fleet.add_ingress().await;
    backend.say("radishgap-rate-limit", "0.2");
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    assert_eq!(caller.send("GET", "/menu").await.status, 200);
    fleet.restart(0, address).await;
    let started = Instant::now();
    let sent = (0..20).map(|_| caller.send("GET", "/slow"));
    for got in future::join_all(sent).await {
        assert!(got.status == 200 || got.outcome == "not-run", "{got:?}");
    }
    let (got, most) = (backend.runs("/slow"), allowed(0.2, started.elapsed()));
    assert!(
        u32::try_from(got).is_ok_and(|got| f64::from(got) <= most),
        "{got} of {most}"
    );
}

#[test]
fn need_read_cases() {
    let status = |rate, turn_ms, leaving| BackendStatus {
        instance: 0xf3,
        rate,
        turn: Duration::from_millis(turn_ms),
        leaving,
    };
    let cases = [
        (
            "f3;2.5;417;0",
            Some(status(Some(units::Rate(2.5)), 417, false)),
        ),
        ("f3;-;0;1", Some(status(None, 0, true))),
        ("", None),
        ("f3;2.5;417", None),
        ("f3;2.5;417;0;1", None),
        ("g3;2.5;417;0", None),
        ("f3;-2.5;417;0", None),
        ("f3;NaN;417;0", None),
        ("f3;2.5;-1;0", None),
        ("fffffffffffffffff;2.5;1;0", None),
    ];
    for (text, wanted) in cases {
        let read = text.parse::<BackendStatus>().ok();
        assert_eq!(read, wanted, "{text}");
        if let Some(status) = read {
            assert_eq!(status.to_string(), text);
        }
    }
}

#[compio::test]
async fn nothing_new_after_leaving_was_said_and_owner_started_anew() {
    let (leaving, other) = (Backend::default(), Backend::default());
    let (leaving_address, _leaving) = leaving.start().await;
    let (other_address, _other) = other.start().await;
    let mut fleet = Fleet::start(&[leaving_address, other_address]).await;
    let ingress = fleet.add_ingress().await;
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    leaving.say("radishgap-leaving", "1");
    while leaving.total() == 0 {
        assert_eq!(caller.send("GET", "/menu").await.status, 200);
    }
    let before = leaving.total();
    // Announcements go on saying that it is ready.
    fleet.announce(0, leaving_address, 1, Phase::Ready);
    for _ in 0..20 {
        let got = caller.send("GET", "/menu").await;
        assert_eq!(got.status, 200, "{got:?}");
    }
    assert_eq!(leaving.total(), before, "the owner knows");
    fleet.restart(0, leaving_address).await;
    for _ in 0..20 {
        assert_eq!(caller.send("GET", "/menu").await.status, 200);
    }
    assert_eq!(leaving.total(), before, "only the ingress knows");
    // Another start beside the same node is another backend server.
    leaving.say("radishgap-leaving", "");
    fleet.announce(0, leaving_address, 2, Phase::Ready);
    for _ in 0..20 {
        assert_eq!(caller.send("GET", "/menu").await.status, 200);
    }
    assert!(leaving.total() > before, "a new start gets requests");
}

#[compio::test]
async fn whole_service_at_its_limit_is_refused_at_once_until_a_true_retry_after() {
    const REQUESTS: u64 = 8;
    let backends = [Backend::default(), Backend::default()];
    let (one, _one) = backends[0].start().await;
    let (other, _other) = backends[1].start().await;
    let mut fleet = Fleet::start(&[one, other]).await;
    fleet.announce(1, other, 2, Phase::Ready);
    let ingress = fleet.add_ingress().await;
    for backend in &backends {
        backend.say("radishgap-rate-limit", "2");
    }
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    while backends.iter().any(|backend| backend.total() == 0) {
        caller.send("GET", "/menu").await;
    }
    let before = fleet.nodes[ingress].ingress.counts().attempts;
    let mut told = None;
    for _ in 0..REQUESTS {
        let got = caller.send("POST", "/menu").await;
        if got.status != 200 {
            let wanted = (503, "not-run", "rate-limited");
            assert_eq!((got.status, &*got.outcome, &*got.reason), wanted, "{got:?}");
            told = got.headers.get("radishgap-retry-after-ms").cloned();
        }
    }
    let attempts = fleet.nodes[ingress].ingress.counts().attempts - before;
    assert!(attempts <= 2 * REQUESTS, "{attempts} attempts");
    let told = told.and_then(|told| told.to_str().ok()?.parse().ok());
    let told = told.expect("some are refused, and told when to come back");
    compio::time::sleep(Duration::from_millis(told)).await;
    assert_eq!(caller.send("POST", "/menu").await.status, 200);
}

#[compio::test]
async fn rejection_that_names_nothing_lifts_no_limit() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let fleet = Fleet::start(&[address]).await;
    let caller = Caller::open(fleet.nodes[0].callers).await;
    let rate = || fleet.nodes[0].owner.gate().rate().map(|rate| rate.0);
    backend.say("radishgap-rate-limit", "50");
    assert_eq!(caller.send("POST", "/menu").await.status, 200);
    assert_eq!(rate(), Some(50.0));
    let got = caller.send("POST", "/sheds").await;
    assert_eq!(got.reason, "backend-server-refused", "{got:?}");
    assert_eq!(rate(), Some(50.0), "after a rejection");
    backend.say("radishgap-rate-limit", "");
    assert_eq!(caller.send("POST", "/menu").await.status, 200);
    assert_eq!(rate(), None, "after an answer that names none");
}
