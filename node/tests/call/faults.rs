//! What callers are told when backend servers fail in exact ways.

use node::call::Settings;

use crate::caller::Caller;
use crate::fleet::{Fleet, route};
use crate::script::{Act, Script};

struct Case {
    act: Act,
    method: &'static str,
    status: u16,
    outcome: &'static str,
    /// Whether a second, working backend server may get the request.
    resent: bool,
}

const fn case(
    act: Act,
    method: &'static str,
    status: u16,
    outcome: &'static str,
    resent: bool,
) -> Case {
    Case {
        act,
        method,
        status,
        outcome,
        resent,
    }
}

const CANCEL: u32 = 8;
const INTERNAL: u32 = 2;
const NO_ERROR: u32 = 0;

const CASES: [Case; 16] = [
    case(Act::Answer, "GET", 200, "ran", false),
    case(Act::Answer, "POST", 200, "ran", false),
    case(Act::Refuse, "GET", 503, "not-run", true),
    case(Act::Refuse, "POST", 503, "not-run", true),
    case(Act::GoAwayBelow, "GET", 503, "not-run", true),
    case(Act::GoAwayBelow, "POST", 503, "not-run", true),
    case(Act::GoAwayAt, "GET", 502, "unknown", true),
    case(Act::GoAwayAt, "POST", 502, "unknown", false),
    case(Act::Reset(INTERNAL), "GET", 502, "unknown", true),
    case(Act::Reset(INTERNAL), "POST", 502, "unknown", false),
    case(Act::Reset(CANCEL), "POST", 502, "unknown", false),
    case(Act::Reset(NO_ERROR), "POST", 502, "unknown", false),
    case(Act::Close, "GET", 502, "unknown", true),
    case(Act::Close, "POST", 502, "unknown", false),
    // The second attempt at the same server is still under way at the deadline.
    case(Act::Silent, "GET", 504, "unknown", true),
    case(Act::Silent, "POST", 502, "unknown", false),
];

#[compio::test]
async fn outcome_of_each_fault() {
    for case in &CASES {
        let script = Script::start(&[case.act]).await;
        let mut fleet = Fleet::start(&[script.address]).await;
        for ingress in [0, fleet.add_ingress().await] {
            let before = script.ran.get();
            let caller = Caller::open(fleet.nodes[ingress].callers).await;
            let got = caller.send(case.method, "/seats").await;
            let ran = script.ran.get() - before;
            let seen = (
                case.act,
                case.method,
                ingress,
                got.status,
                got.outcome.as_str(),
            );
            let wanted = (case.act, case.method, ingress, case.status, case.outcome);
            assert_eq!(seen, wanted, "{got:?}");
            assert!(
                got.outcome != "not-run" || ran == 0,
                "{wanted:?} ran {ran} times"
            );
            assert!(
                case.method != "POST" || ran <= 1,
                "{wanted:?} ran {ran} times"
            );
            let told = got.headers.contains_key("retry-after");
            assert_eq!(told, case.status != 200, "{wanted:?}");
        }
        assert_eq!(fleet.violations(), 0);
    }
}

/// Settings with which the service bears any number of repeats.
fn unbounded() -> Settings {
    let mut settings = Settings::default();
    settings.admission.repeats.slack = 1e6;
    settings
}

#[compio::test]
async fn resend_to_working_server() {
    for case in &CASES {
        let faulty = Script::start(&[case.act]).await;
        let working = Script::start(&[Act::Answer]).await;
        let servers = [faulty.address, working.address];
        let mut fleet = Fleet::with(&servers, unbounded()).await;
        let ingress = fleet.add_ingress().await;
        let caller = Caller::open(fleet.nodes[ingress].callers).await;
        for _ in 0..12 {
            let before = faulty.ran.get() + working.ran.get();
            let got = caller.send(case.method, "/seats").await;
            let ran = faulty.ran.get() + working.ran.get() - before;
            let place = (case.act, case.method, got.status, ran);
            assert!(case.method != "POST" || ran <= 1, "{place:?}");
            assert!(got.outcome != "not-run" || ran == 0, "{place:?}");
            if case.resent {
                assert_eq!(got.status, 200, "{place:?} {got:?}");
                assert_eq!(got.body.as_deref(), Some(b"whole".as_slice()));
            } else {
                assert!(
                    got.status == 200 || got.outcome == case.outcome,
                    "{place:?}"
                );
            }
        }
        assert_eq!(fleet.violations(), 0);
    }
}

#[compio::test]
async fn answer_cut_short() {
    let acts = [
        Act::Cut(NO_ERROR),
        Act::Cut(CANCEL),
        Act::Cut(INTERNAL),
        Act::CutClose,
    ];
    for act in acts {
        let script = Script::start(&[act]).await;
        let mut fleet = Fleet::start(&[script.address]).await;
        for ingress in [0, fleet.add_ingress().await] {
            let caller = Caller::open(fleet.nodes[ingress].callers).await;
            let got = caller.send("GET", "/menu").await;
            let whole = got.status == 200 && got.body.is_some();
            assert!(!whole, "{act:?} {got:?}");
            let counts = fleet.nodes[ingress].ingress.counts();
            assert_eq!(counts.answered, 0, "{act:?}");
            assert!(counts.truncated + counts.unknown >= 1, "{act:?} {counts:?}");
        }
    }
}

/// A server that accepts connections but says nothing gets no request.
#[compio::test]
async fn server_frozen_from_the_start() {
    let frozen = compio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port");
    let address = units::Address(frozen.local_addr().expect("an address"));
    let working = Script::start(&[Act::Answer]).await;
    let mut fleet = Fleet::start(&[address, working.address]).await;
    let ingress = fleet.add_ingress().await;
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    for number in 1..=6 {
        let got = caller.send("POST", "/book").await;
        assert_eq!((got.status, working.ran.get()), (200, number), "{got:?}");
    }
}

/// Retries that many nodes had saved up reached backend servers beyond the bound (issue 17).
#[compio::test]
async fn resend_within_allowance() {
    let faulty = [
        Script::start(&[Act::Reset(INTERNAL)]).await,
        Script::start(&[Act::Reset(INTERNAL)]).await,
    ];
    let mut settings = Settings::default();
    settings.admission.repeats.ratio = 0.1;
    settings.admission.repeats.slack = 12.0;
    let mut fleet = Fleet::with(&[faulty[0].address, faulty[1].address], settings).await;
    for _ in 0..6 {
        let ingress = fleet.add_ingress().await;
        let caller = Caller::open(fleet.nodes[ingress].callers).await;
        for _ in 0..10 {
            let got = caller.send("GET", "/seats").await;
            assert_eq!((got.status, got.outcome.as_str()), (502, "unknown"));
        }
    }
    let ran = faulty[0].ran.get() + faulty[1].ran.get();
    let repeats = ran - 60;
    assert!(
        (4..=18).contains(&repeats),
        "{repeats} repeats of 60 requests"
    );
}

/// A version whose requests ran out of time before their owner could say so looked better than it was.
#[compio::test]
async fn unanswered_request_counts_against_its_version() {
    let server = Script::start(&[Act::Answer]).await;
    let silent = Script::start(&[Act::Silent]).await;
    let mut fleet = Fleet::start(&[server.address]).await;
    fleet.configure(&[route("slow", "/slow", 300)]);
    let ingress = fleet.add_ingress().await;
    fleet.divert(0, silent.address);
    let caller = Caller::open(fleet.nodes[ingress].callers).await;
    let got = caller.send("GET", "/slow").await;
    assert_eq!((got.status, got.reason.as_str()), (504, "deadline"));
    let samples = fleet.nodes[ingress].seen.samples.borrow();
    let seen: Vec<_> = samples
        .iter()
        .map(|one| (one.version.as_str(), one.failed))
        .collect();
    assert_eq!(seen, [("v1", true)]);
}
