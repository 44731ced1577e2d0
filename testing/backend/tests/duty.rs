//! Contract of the requests that the stand-in takes.

use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use radishgap_backend::{Bad, Duty, Effect, Ending, Faults, Onset, Settings, State};

type Client = web::Connection<Full<Bytes>>;

const PING: time::Duration = time::Duration::from_secs(30);

/// A stand-in in this process and a connection to it.
async fn start(change: impl FnOnce(&mut Settings)) -> (State, Client, kernel::Trigger) {
    let text = r#"{"listen": "127.0.0.1:0", "service": "bookdesk", "version": "v1"}"#;
    let mut settings: Settings = settings::parse(text).expect("settings");
    change(&mut settings);
    let (state, _) = State::new(settings).expect("state");
    let address = "127.0.0.1:0".parse().expect("address");
    let server = web::Server::bind(address, web::Limits::default());
    let server = server.await.expect("listener");
    let address = server.address().expect("address");
    let (trigger, stop) = kernel::stop();
    compio::runtime::spawn(server.run(Duty::new(state.clone()), stop)).detach();
    let client = web::Connection::open(address, PING).await.expect("client");
    (state, client, trigger)
}

fn request(headers: &[(&str, &str)]) -> http::Request<Full<Bytes>> {
    let mut builder = http::Request::post("http://bookdesk.example/book/7");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::from("seat 7")).expect("request")
}

fn header(answer: &http::Response<hyper::body::Incoming>, name: &str) -> String {
    let value = answer.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

fn bad(effect: Effect) -> Bad {
    let text = r#"{"effect": "fail"}"#;
    let bad: Bad = serde_json::from_str(text).expect("fault");
    Bad { effect, ..bad }
}

fn endings(state: &State) -> Vec<Option<Ending>> {
    state.record(|record| record.runs().map(|run| run.ending).collect())
}

#[compio::test]
async fn handle_echo() {
    let (state, mut client, _stop) = start(|_| {}).await;
    let headers = [
        ("x-call", "call-1"),
        ("radishgap-request", "request-1"),
        ("idempotency-key", "key-1"),
        ("x-answer-bytes", "100000"),
    ];
    let answer = client.send(request(&headers)).await.expect("answer");
    assert_eq!(answer.status(), http::StatusCode::OK);
    assert_eq!(header(&answer, "x-call"), "call-1");
    assert_eq!(header(&answer, "radishgap-request"), "request-1");
    assert_eq!(header(&answer, "x-service"), "bookdesk");
    assert_eq!(header(&answer, "x-version"), "v1");
    let digest = header(&answer, "x-digest");
    let body = answer.into_body().collect().await.expect("body").to_bytes();
    assert_eq!(body, radishgap_backend::fill("call-1", 100_000));
    assert_eq!(digest, format!("{:016x}", radishgap_backend::sum(&body)));
    let run = state.record(|record| record.runs().next().cloned());
    let run = run.expect("a run");
    assert_eq!((run.call.as_str(), run.key.as_str()), ("call-1", "key-1"));
    assert_eq!(
        (run.method.as_str(), run.path.as_str()),
        ("POST", "/book/7")
    );
    assert_eq!((run.body_bytes, run.ending), (6, Some(Ending::Answered)));
}

#[compio::test]
async fn handle_faults() {
    let cases = [
        ("at once", bad(Effect::Fail), 500),
        (
            "not yet",
            Bad {
                onset: Onset::Late,
                after: units::Period::from_secs(3600),
                ..bad(Effect::Fail)
            },
            200,
        ),
        (
            "late",
            Bad {
                onset: Onset::Late,
                after: units::Period::from_millis(0),
                ..bad(Effect::Fail)
            },
            500,
        ),
        (
            "above the load",
            Bad {
                onset: Onset::UnderLoad,
                above: units::Share::NONE,
                ..bad(Effect::Fail)
            },
            500,
        ),
        (
            "below the load",
            Bad {
                onset: Onset::UnderLoad,
                ..bad(Effect::Fail)
            },
            200,
        ),
        (
            "on its route",
            Bad {
                on_route: Some("/book".into()),
                ..bad(Effect::Fail)
            },
            500,
        ),
        (
            "on another route",
            Bad {
                on_route: Some("/panels".into()),
                ..bad(Effect::Fail)
            },
            200,
        ),
        (
            "on no request",
            Bad {
                share: units::Share::NONE,
                ..bad(Effect::Fail)
            },
            200,
        ),
        ("slow", bad(Effect::Slow), 200),
    ];
    let (state, mut client, _stop) = start(|_| {}).await;
    for (name, bad, status) in cases {
        state.set_faults(Faults {
            bad: Some(bad),
            ..Faults::default()
        });
        let answer = client.send(request(&[])).await.expect("answer");
        assert_eq!(answer.status().as_u16(), status, "{name}");
    }
}

#[compio::test]
async fn handle_truncate() {
    let (state, mut client, _stop) = start(|_| {}).await;
    state.set_faults(Faults {
        bad: Some(bad(Effect::Truncate)),
        ..Faults::default()
    });
    let answer = client.send(request(&[("x-answer-bytes", "100000")])).await;
    let body = answer.expect("answer").into_body().collect().await;
    assert!(body.is_err(), "a broken answer must not look whole");
}

#[compio::test]
async fn handle_shed() {
    let slow = |settings: &mut Settings| {
        settings.slots = 1;
        settings.service_time.mean = units::Period::from_secs(600);
    };
    let (state, client, _stop) = start(slow).await;
    let mut first = client.clone();
    let running = compio::runtime::spawn(async move { first.send(request(&[])).await });
    while state.record(|record| record.counts().ran) == 0 {
        compio::time::sleep(time::Duration::from_millis(1)).await;
    }
    let answer = client.clone().send(request(&[])).await.expect("answer");
    assert_eq!(answer.status(), http::StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(header(&answer, "radishgap-outcome"), "not-run");
    assert_eq!(state.record(|record| record.counts().shed), 1);
    drop(running);
    while endings(&state) != [Some(Ending::Cancelled)] {
        compio::time::sleep(time::Duration::from_millis(1)).await;
    }
}

#[compio::test]
async fn handle_deadline() {
    let slow = |settings: &mut Settings| {
        settings.service_time.mean = units::Period::from_secs(600);
    };
    let (state, mut client, _stop) = start(slow).await;
    let passed = client
        .send(request(&[("radishgap-deadline-ms", "0")]))
        .await;
    let passed = passed.expect("answer");
    assert_eq!(passed.status(), http::StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(header(&passed, "radishgap-outcome"), "not-run");
    assert_eq!(endings(&state), []);
    let passes = client
        .send(request(&[("radishgap-deadline-ms", "20")]))
        .await;
    let passes = passes.expect("answer");
    assert_eq!(passes.status(), http::StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(header(&passes, "radishgap-outcome"), "ran");
    assert_eq!(endings(&state), [Some(Ending::Expired)]);
}

#[compio::test]
async fn handle_in_need() {
    let (state, mut client, _stop) = start(|_| {}).await;
    let answer = client.send(request(&[])).await.expect("an answer");
    assert_eq!(header(&answer, "radishgap-rate-limit"), "");
    assert_eq!(header(&answer, "radishgap-leaving"), "");
    let rate_limit = Some(units::Rate(2.5));
    state.set_faults(Faults {
        rate_limit,
        ..Faults::default()
    });
    state.enter(schema::announce::Phase::Draining);
    let answer = client.send(request(&[])).await.expect("an answer");
    assert_eq!(header(&answer, "radishgap-rate-limit"), "2.5");
    assert_eq!(header(&answer, "radishgap-leaving"), "1");
    let limits = state.record(|record| record.runs().map(|run| run.rate_limit).collect::<Vec<_>>());
    assert_eq!(limits, [None, rate_limit]);
}
