//! The rate that a backend server names.

use std::time::{Duration, Instant};

use admission::{Change, Named, Pace};

fn rate(number: f64) -> Named {
    Named::Rate(units::Rate(number))
}

#[test]
fn named_cases() {
    let cases: [(&[&str], Named); 15] = [
        (&[], Named::Nothing),
        (&["2.4"], rate(2.4)),
        (&[" 12 "], rate(12.0)),
        (&["0"], rate(0.0)),
        (&["3", "2.5"], rate(2.5)),
        (&["3, 1.5"], rate(1.5)),
        (&["1e300"], rate(1e6)),
        (&["-1"], Named::Unreadable),
        (&["inf"], Named::Unreadable),
        (&["NaN"], Named::Unreadable),
        (&["1e999"], Named::Unreadable),
        (&[""], Named::Unreadable),
        (&["many"], Named::Unreadable),
        (&["3", "many"], Named::Unreadable),
        (&["3,"], Named::Unreadable),
    ];
    for (values, wanted) in cases {
        let read = Named::read(values.iter().copied().map(Some));
        assert_eq!(read, wanted, "{values:?}");
    }
    assert_eq!(Named::read([None].into_iter()), Named::Unreadable);
}

#[test]
fn hear_cases() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let unreadable = Named::Unreadable;
    // What an answer names, when its request was sent, when it came, the rate then.
    let cases = [
        ("nothing yet", Named::Nothing, 10, 20, None),
        ("unreadable before any", unreadable, 11, 21, None),
        ("named", rate(2.0), 30, 100, Some(2.0)),
        ("made before, late", Named::Nothing, 40, 150, Some(2.0)),
        ("unreadable", unreadable, 110, 160, Some(2.0)),
        ("changed", rate(5.0), 110, 170, Some(5.0)),
        ("the same", rate(5.0), 110, 180, Some(5.0)),
        (
            "sent before it was named again",
            Named::Nothing,
            175,
            190,
            Some(5.0),
        ),
        ("lifted", Named::Nothing, 181, 200, None),
        ("zero", rate(0.0), 210, 220, Some(0.0)),
    ];
    let mut pace = Pace::new(start);
    for (name, named, sent, now, wanted) in cases {
        let before = pace.rate();
        let change = pace.hear(named, at(sent), at(now));
        assert_eq!(pace.rate().map(|rate| rate.0), wanted, "{name}");
        let told = !matches!(change, Change::None | Change::Unreadable { .. });
        assert_eq!(told, before != pace.rate(), "{name}: {change:?}");
    }
}

#[test]
fn usage_of_the_window() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pace = Pace::new(start);
    pace.take(at(0));
    assert_eq!(pace.usage(at(0)), None);
    pace.hear(rate(2.0), at(0), at(1));
    for ms in [100, 200, 3_000] {
        pace.take(at(ms));
    }
    let arrived = |pace: &mut Pace, ms| pace.usage(at(ms)).map(|usage| usage.arrived);
    assert_eq!(arrived(&mut pace, 4_099), Some(3));
    assert_eq!(arrived(&mut pace, 4_100), Some(2));
    assert_eq!(arrived(&mut pace, 8_000), Some(0));
}
