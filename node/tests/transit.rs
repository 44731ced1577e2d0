//! Time that messages spend on their way between nodes, told by their stamps.

use std::time::{Duration, Instant};

use node::call::{Envelope, Headers, Stamp, Transits};
use units::Uptime;

fn at(millis: u64) -> Uptime {
    Uptime(Duration::from_millis(millis))
}

fn stamp(sender: u32, millis: u64) -> Stamp {
    let sent = at(millis);
    Stamp { sender, sent }
}

#[test]
fn record_cases() {
    let mut transits = Transits::default();
    // Sender, when it sent by its clock, when it arrived by the clock here, milliseconds waited.
    let cases = [
        ("the first one", 1, 500_000, 10_003, 0),
        ("as fast", 1, 500_100, 10_103, 0),
        ("late", 1, 500_200, 11_000, 797),
        ("faster", 1, 501_000, 11_001, 0),
        ("late again", 1, 501_100, 11_200, 99),
        ("another sender", 2, 7, 11_200, 0),
        ("another sender, late", 2, 107, 11_900, 600),
        ("sender whose clock is ahead", 3, u64::MAX / 2, 12_000, 0),
        ("after its suspension", 1, 501_400, 13_500, 2_099),
    ];
    for (name, sender, sent, now, waited) in cases {
        let got = transits.record(stamp(sender, sent), at(now));
        assert_eq!(got, Duration::from_millis(waited), "{name}");
    }
}

/// Guards against a sender whose every message counts as late for good once its clock has moved.
#[test]
fn record_follows_a_clock_that_moved() {
    let mut transits = Transits::default();
    let mut waited = Duration::ZERO;
    transits.record(stamp(1, 1_000), at(1_000));
    for second in 2..70 {
        waited = transits.record(stamp(1, second * 1_000), at(second * 1_000 + 800));
    }
    assert_eq!(waited, Duration::ZERO);
}

/// Guards against durations that are handed on without the time that handing on takes.
#[test]
fn subtract_cases() {
    const WAITED: Duration = Duration::from_millis(700);
    // Cover in the headers, and what it becomes.
    for (cover, wanted) in [("0", 0), ("300", 1_000)] {
        let mut headers = http::HeaderMap::new();
        for (name, value) in [
            (Headers::REQUEST, "r.1"),
            (Headers::DEADLINE_MS, "2000"),
            (Headers::TARGET_MS, "1000"),
            (Headers::ATTEMPT, "1"),
            (Headers::DEPTH, "0"),
            (Headers::SERVICE, "menus"),
            (Headers::VERSION, "v1"),
            (Headers::CALLER, "c"),
            (Headers::KEY, "k"),
            (Headers::KEY_COVER_MS, cover),
        ] {
            headers.insert(name, http::HeaderValue::from_str(value).expect("a value"));
        }
        let now = Instant::now();
        let mut envelope = Envelope::read(&headers, now).expect("a whole envelope");
        envelope.subtract(WAITED);
        assert_eq!(envelope.deadline, now + Duration::from_millis(1_300));
        assert_eq!(envelope.target, now + Duration::from_millis(300));
        let key = envelope.key.expect("a key");
        assert_eq!(key.cover, Duration::from_millis(wanted), "{cover}");
    }
}

#[test]
fn stamp_cases() {
    let given = stamp(0xab_cdef, 1_234_567);
    assert_eq!(given.to_string(), "abcdef-1234567");
    assert_eq!(given.to_string().parse(), Ok(given));
    for text in ["", "-", "x-1", "1", "1-", "1-x", "123456789-1", "1--1"] {
        assert!(text.parse::<Stamp>().is_err(), "{text}");
    }
}
