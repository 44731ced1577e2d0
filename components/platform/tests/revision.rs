//! Tests of positions in the history of the store.

use platform::{Era, Revision};

fn position(era: u16, counter: u64) -> Revision {
    Revision(counter).in_era(Era(era)).expect("it fits")
}

#[test]
fn revision_order_cases() {
    let ordered = [(0, 5), (0, 9), (1, 3), (1, 9), (2, 1)];
    for pair in ordered.windows(2) {
        let [(era, counter), (later, next)] = pair else {
            unreachable!("a window of two");
        };
        assert!(
            position(*era, *counter) < position(*later, *next),
            "{pair:?}"
        );
    }
}

#[test]
fn in_era_cases() {
    let largest = (1 << 48) - 1;
    assert_eq!(position(0, 7), Revision(7));
    assert_eq!(position(3, largest).counter(), largest);
    assert_eq!(position(3, largest).era(), Era(3));
    assert_eq!(Revision(largest + 1).in_era(Era(0)), None);
    assert_eq!(position(1, 7).in_era(Era(2)), None);
    assert_eq!(position(0, 7).to_string(), "7");
    assert_eq!(position(2, 7).to_string(), "2:7");
}
