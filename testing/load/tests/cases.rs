//! Cases of moves by seed.

use radishgap_load::moves::{Badness, cases};

#[test]
fn cases_same_seed() {
    assert_eq!(cases(3, 40), cases(3, 40));
    assert_ne!(cases(3, 40), cases(4, 40));
}

#[test]
fn cases_content() {
    let cases = cases(3, 40);
    assert_eq!(cases.iter().filter(|case| case.is_good()).count(), 20);
    let each = [
        Badness::FailsAtOnce,
        Badness::FailsLate,
        Badness::FailsUnderLoad,
        Badness::FailsOnRoute,
        Badness::SlowAtOnce,
        Badness::SlowLate,
        Badness::SlowUnderLoad,
        Badness::SlowOnRoute,
        Badness::Crashes,
    ];
    for badness in each {
        let count = cases.iter().filter(|case| case.badness == Some(badness));
        assert!(count.count() >= 2, "{badness:?}");
    }
    for case in &cases {
        let faults = case.faults("/service");
        assert_eq!(faults.bad.is_none(), case.is_good(), "{case}");
    }
}
