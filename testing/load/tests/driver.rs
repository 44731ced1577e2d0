//! Callers against a backend server without a mesh: every call is answered and judged.

use radishgap_backend::{Bad, Duty, Effect, Event, Faults, Settings, State};
use radishgap_load::caller::{Outcome, Protocol};
use radishgap_load::driver::Driver;
use radishgap_load::judge::{Kind, Verdict};
use radishgap_load::plan::Mix;

/// A stand-in in this process.
async fn start() -> (State, units::Address, kernel::Trigger) {
    let text =
        r#"{"listen": "127.0.0.1:0", "service": "bookdesk", "version": "v1", "slots": 1000}"#;
    let settings: Settings = settings::parse(text).expect("settings");
    let (state, _) = State::new(settings).expect("state");
    let address = "127.0.0.1:0".parse().expect("address");
    let server = web::Server::bind(address, web::Limits::default());
    let server = server.await.expect("listener");
    let address = server.address().expect("address");
    let (trigger, stop) = kernel::stop();
    compio::runtime::spawn(server.run(Duty::new(state.clone()), stop)).detach();
    (state, address, trigger)
}

fn mix() -> Mix {
    Mix {
        posts: "50%".parse().expect("share"),
        keyed: "50%".parse().expect("share"),
        answer_bytes: 100_000,
        ..Mix::reads("test", 200.0, units::Period::from_secs(1), "h", "/p")
    }
}

fn events(state: &State) -> Vec<Event> {
    state.record(|record| {
        record
            .runs()
            .cloned()
            .map(Box::new)
            .map(Event::Start)
            .collect()
    })
}

#[compio::test]
async fn run_answered() {
    for protocol in [Protocol::Http1, Protocol::Http2] {
        let (state, address, _stop) = start().await;
        let driver = Driver {
            protocol,
            ..Driver::new(vec![address])
        };
        let calls = driver.run(mix().plan(3)).await;
        let verdict = Verdict::new(&calls, &events(&state));
        assert_eq!(
            (verdict.calls, verdict.answered),
            (200, 200),
            "{protocol:?}"
        );
        assert_eq!((verdict.runs, verdict.total()), (200, 0), "{protocol:?}");
    }
}

#[compio::test]
async fn run_truncated() {
    let (state, address, _stop) = start().await;
    let bad: Bad = serde_json::from_str(r#"{"effect": "truncate"}"#).expect("fault");
    assert_eq!(bad.effect, Effect::Truncate);
    state.set_faults(Faults {
        bad: Some(bad),
        ..Faults::default()
    });
    for protocol in [Protocol::Http1, Protocol::Http2] {
        let driver = Driver {
            protocol,
            ..Driver::new(vec![address])
        };
        let calls = driver.run(mix().plan(4)).await;
        let broken = calls
            .iter()
            .filter(|done| done.outcome() == Outcome::Broken);
        assert_eq!(broken.count(), 200, "{protocol:?}");
        let verdict = Verdict::new(&calls, &events(&state));
        assert!(!verdict.counts.iter().any(|one| one.0 == Kind::WrongAnswer));
    }
}

#[compio::test]
async fn run_without_address() {
    let (_, address, stop) = start().await;
    stop.fire();
    let driver = Driver {
        attempts: 1,
        ..Driver::new(vec![address])
    };
    let mut mix = mix();
    mix.length = units::Period::from_millis(50);
    const ROUNDS: usize = 1_000;
    for _ in 0..ROUNDS {
        let calls = driver.run(mix.plan(5)).await;
        if calls.iter().all(|done| done.seen.is_empty()) {
            return;
        }
    }
    panic!("the closed listener still takes calls");
}
