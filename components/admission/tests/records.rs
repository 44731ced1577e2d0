//! Outcome of a retry with the same idempotency key.

use std::rc::Rc;
use std::time::{Duration, Instant};

use admission::{End, First, KeyRecords, Reason, Settings, Start, Stored};
use bytes::Bytes;

const KEY: u128 = 5;
const REQUEST: u64 = 9;

fn records(settings: Settings, now: Instant) -> KeyRecords {
    KeyRecords::new(Rc::new(settings), now)
}

fn first(records: &KeyRecords, key: u128, now: Instant) -> First {
    match records.begin(key, REQUEST, false, now) {
        Ok(Start::Run(first)) => first,
        _ => panic!("the key is on record"),
    }
}

fn answer(bytes: usize) -> End {
    End::Answer(Stored {
        status: http::StatusCode::OK,
        headers: http::HeaderMap::new(),
        body: Bytes::from(vec![1; bytes]),
    })
}

fn describe(start: Result<Start, admission::Refusal>) -> String {
    match start {
        Ok(Start::Run(_)) => "run".into(),
        Ok(Start::Join(_)) => "join".into(),
        Ok(Start::Ended(End::Answer(stored))) => format!("answer of {}", stored.body.len()),
        Ok(Start::Ended(End::Answered(status))) => format!("answered {}", status.as_u16()),
        Ok(Start::Ended(End::Unknown)) => "unknown".into(),
        Ok(Start::Ended(End::NotRun)) => "not run".into(),
        Err(refusal) => refusal.reason.to_string(),
    }
}

#[test]
fn begin_after_each_end() {
    let cases = [
        (Some(answer(3)), "answer of 3"),
        (
            Some(End::Answered(http::StatusCode::CREATED)),
            "answered 201",
        ),
        (Some(End::Unknown), "unknown"),
        (Some(End::NotRun), "run"),
        (None, "unknown"),
    ];
    for (end, wanted) in cases {
        let now = Instant::now();
        let records = records(Settings::default(), now);
        let running = first(&records, KEY, now);
        assert_eq!(describe(records.begin(KEY, REQUEST, false, now)), "join");
        match &end {
            Some(end) => running.finish(end, now),
            None => drop(running),
        }
        assert_eq!(describe(records.begin(KEY, REQUEST, false, now)), wanted);
    }
}

#[test]
fn begin_refusals() {
    let now = Instant::now();
    let settings = Settings {
        keys: 1,
        ..Settings::default()
    };
    let records = records(settings, now);
    let refused = describe(records.begin(KEY, REQUEST, true, now));
    assert_eq!(refused, Reason::KeyNotFound.to_string());
    let _running = first(&records, KEY, now);
    let refused = describe(records.begin(KEY, REQUEST + 1, false, now));
    assert_eq!(refused, Reason::KeyReused.to_string());
    let refused = describe(records.begin(KEY + 1, REQUEST, false, now));
    assert_eq!(refused, Reason::KeysFull.to_string());
}

#[test]
fn begin_over_time() {
    let now = Instant::now();
    let records = records(Settings::default(), now);
    let running = first(&records, KEY, now);
    let later = now + Duration::from_secs(600);
    assert_eq!(describe(records.begin(KEY, REQUEST, false, later)), "join");
    running.finish(&answer(3), later);
    let at = later + Duration::from_millis(59_999);
    assert_eq!(
        describe(records.begin(KEY, REQUEST, false, at)),
        "answer of 3"
    );
    let at = later + Duration::from_secs(60);
    assert_eq!(
        describe(records.begin(KEY, REQUEST, true, at)),
        "key-not-found"
    );
    assert_eq!((records.len(), records.bytes()), (0, 0));
}

#[test]
fn note_conflicts() {
    let now = Instant::now();
    let records = records(Settings::default(), now);
    assert!(records.note(KEY, REQUEST, 1, now).is_ok());
    assert!(records.note(KEY, REQUEST, 1, now).is_ok());
    assert!(records.note(KEY, REQUEST, 2, now).is_err());
    assert_eq!(describe(records.begin(KEY, REQUEST, false, now)), "unknown");
    assert_eq!(
        describe(records.begin(KEY, REQUEST, true, now)),
        "key-noted"
    );
    records.withdraw(KEY, 2);
    assert!(records.note(KEY, REQUEST, 2, now).is_err());
    records.withdraw(KEY, 1);
    assert!(records.note(KEY, REQUEST, 1, now).is_ok());
    let _running = first(&records, KEY + 1, now);
    assert!(records.note(KEY + 1, REQUEST, 1, now).is_err());
    let later = now + Duration::from_secs(60);
    assert!(records.note(KEY, REQUEST, 2, later).is_ok());
}

#[test]
fn finish_above_size_limit() {
    let now = Instant::now();
    let settings = Settings {
        key_answers: units::Size(100),
        ..Settings::default()
    };
    let records = records(settings, now);
    for key in 0..5 {
        first(&records, key, now).finish(&answer(40), now);
    }
    let seen: Vec<_> = (0..5)
        .map(|key| describe(records.begin(key, REQUEST, false, now)))
        .collect();
    let wanted = [
        "answered 200",
        "answered 200",
        "answered 200",
        "answer of 40",
        "answer of 40",
    ];
    assert_eq!(seen, wanted);
    assert_eq!(records.bytes(), 80);
}

#[compio::test]
async fn join_receives_end() {
    let now = Instant::now();
    let records = records(Settings::default(), now);
    let running = first(&records, KEY, now);
    let Ok(Start::Join(waiting)) = records.begin(KEY, REQUEST, false, now) else {
        panic!("the key is not running");
    };
    running.finish(&answer(2), now);
    assert!(matches!(waiting.await, Ok(End::Answer(stored)) if stored.body.len() == 2));
}
