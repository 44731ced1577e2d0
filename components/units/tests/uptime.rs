//! Time since the start of the machine.

use std::time;

use units::Uptime;

#[test]
fn now_does_not_fall() {
    let first = Uptime::now();
    assert!(Uptime::now() >= first);
    assert!(first > Uptime::default());
}

#[test]
fn saturating_since_is_zero_for_a_later_time() {
    let start = Uptime(time::Duration::from_secs(5));
    let later = start + time::Duration::from_secs(2);
    assert_eq!(later.saturating_since(start), time::Duration::from_secs(2));
    assert_eq!(start.saturating_since(later), time::Duration::ZERO);
}

#[test]
fn add_saturates() {
    let last = Uptime(time::Duration::MAX);
    assert_eq!(last + time::Duration::from_secs(1), last);
}
