//! What is answered without a backend server.

use crate::backend::Backend;
use crate::caller::Caller;
use crate::fleet::{Fleet, route, until};

type Headers<'h> = &'h [(&'h str, &'h str)];

#[compio::test]
async fn refusals_by_status() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let fleet = Fleet::start(&[address]).await;
    let caller = Caller::open(fleet.nodes[0].callers).await;
    let long = "k".repeat(300);
    let cases: [(&str, Headers, u16, &str); 5] = [
        ("GET", &[("host", "other.example")], 200, ""),
        ("GET", &[("radishgap-depth", "64")], 508, "too-deep"),
        ("POST", &[("idempotency-key", &long)], 400, "malformed"),
        ("POST", &[("idempotency-key", "")], 400, "malformed"),
        ("POST", &[("radishgap-deadline-ms", "0")], 504, "deadline"),
    ];
    for (method, headers, status, reason) in cases {
        let got = caller.send_with(method, "/menu", headers, b"").await;
        assert_eq!(
            (got.status, got.reason.as_str()),
            (status, reason),
            "{headers:?}"
        );
        let outcome = if status == 200 { "ran" } else { "not-run" };
        assert_eq!(got.outcome, outcome, "{headers:?}");
    }
    assert_eq!(backend.total(), 1);
}

#[compio::test]
async fn route_missing_and_server_missing() {
    let mut fleet = Fleet::start(&[]).await;
    let ingress = fleet.add_ingress().await;
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    let got = caller.send("GET", "/menu").await;
    assert_eq!(
        (got.status, got.reason.as_str()),
        (503, "no-backend-server")
    );
    assert_eq!(got.outcome, "not-run");
    assert!(got.headers.contains_key("radishgap-retry-after-ms"));
    let got = caller.send("GET", "/menu").await;
    assert_eq!(got.status, 503);
}

#[compio::test]
async fn samples_of_versions() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let fleet = Fleet::start(&[address]).await;
    let caller = Caller::open(fleet.nodes[0].callers).await;
    for path in ["/menu", "/fails", "/stuck"] {
        let headers = [("radishgap-deadline-ms", "2000")];
        caller.send_with("POST", path, &headers, b"").await;
    }
    let samples = &fleet.nodes[0].seen.samples;
    until(|| samples.borrow().len() >= 3).await;
    let samples = samples.borrow().clone();
    let seen: Vec<_> = samples
        .iter()
        .map(|one| (&*one.version, &*one.route, one.failed))
        .collect();
    let wanted = [
        ("v1", "menus", false),
        ("v1", "menus", true),
        ("v1", "menus", true),
    ];
    assert_eq!(seen, wanted);
}

#[compio::test]
async fn headers_towards_server() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let mut fleet = Fleet::start(&[address]).await;
    for ingress in [0, fleet.add_ingress().await] {
        let caller = Caller::open(fleet.nodes[ingress].callers).await;
        let sent = [
            ("radishgap-depth", "3"),
            ("radishgap-attempt", "2"),
            ("radishgap-request", "abc"),
            ("radishgap-service", "forged"),
            ("x-own", "kept"),
        ];
        let got = caller.send_with("GET", "/menu", &sent, b"").await;
        assert_eq!(got.headers["radishgap-request"], "abc");
        let headers = backend.last_headers();
        assert_eq!(headers["radishgap-depth"], "4");
        assert_eq!(headers["radishgap-attempt"], "2");
        assert_eq!(headers["x-own"], "kept");
        assert!(!headers.contains_key("radishgap-service"));
        let id = headers["radishgap-request"].to_str().expect("text");
        assert!(id.starts_with("abc."), "{id}");
        let left: u64 = headers["radishgap-deadline-ms"]
            .to_str()
            .expect("text")
            .parse()
            .expect("a number");
        assert!(left <= 2_000);
    }
}

#[compio::test]
async fn outcome_claimed_by_server() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let fleet = Fleet::start(&[address]).await;
    let caller = Caller::open(fleet.nodes[0].callers).await;
    let got = caller.send("POST", "/lies").await;
    assert_eq!((got.status, got.outcome.as_str()), (503, "ran"));
    assert_eq!(backend.runs("/lies"), 1);
}

#[compio::test]
async fn longest_prefix_wins() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let fleet = Fleet::start(&[address]).await;
    fleet.configure(&[route("short", "/menu/short", 50)]);
    let caller = Caller::open(fleet.nodes[0].callers).await;
    let got = caller.send("GET", "/menu/short/slow").await;
    assert_eq!((got.status, got.reason.as_str()), (504, "deadline"));
    let got = caller.send("GET", "/menu/shorter/slow").await;
    assert_eq!(got.status, 200);
}
