//! Leases under paused holders, lost answers and racing contenders.

use std::time;

use fakes::Faults;
use platform::{Error, Lease, Observed};

const PERIOD: time::Duration = time::Duration::from_secs(10);

type Contender = Lease<fakes::Store>;

fn contender(store: &fakes::Store, name: &str) -> Contender {
    Lease::new(store.clone(), "move-1", name, PERIOD).expect("the name fits")
}

fn is_held(observed: &Result<Observed, Error>) -> bool {
    matches!(observed, Ok(Observed::Held(_)))
}

#[compio::test]
async fn attempt_takeover() {
    let store = fakes::Store::default();
    let (mut one, mut other) = (contender(&store, "n1"), contender(&store, "n2"));
    let start = time::Instant::now();
    assert!(is_held(&one.attempt(start).await));
    let first = one.token(start).expect("it is held");
    assert!(!is_held(&other.attempt(start + PERIOD * 5).await));
    let before_end = start + PERIOD * 6 - time::Duration::from_millis(1);
    assert!(!is_held(&other.attempt(before_end).await));
    // The period counts from the answer of the first attempt, which took a moment.
    let end = start + PERIOD * 6 + time::Duration::from_millis(500);
    assert!(is_held(&other.attempt(end).await));
    assert!(other.token(end).expect("it is held") > first);
    assert_eq!(one.token(start + PERIOD), None);
    assert!(!is_held(&one.attempt(end).await));
}

#[compio::test]
async fn attempt_observed_late() {
    let store = fakes::Store::default();
    let (mut one, mut other) = (contender(&store, "n1"), contender(&store, "n2"));
    let start = time::Instant::now();
    assert!(is_held(&one.attempt(start).await));
    // The answer comes long after the attempt began, as after a pause of the process.
    let slow = time::Duration::from_millis(300);
    store.set_faults(fakes::Faults {
        slow,
        ..fakes::Faults::default()
    });
    assert!(!is_held(&other.attempt(start).await));
    store.set_faults(fakes::Faults::default());
    let early = start + PERIOD + slow / 2;
    assert!(!is_held(&other.attempt(early).await));
}

#[compio::test]
async fn attempt_renewed() {
    let store = fakes::Store::default();
    let (mut one, mut other) = (contender(&store, "n1"), contender(&store, "n2"));
    let start = time::Instant::now();
    for step in 0..20 {
        let now = start + PERIOD / 2 * step;
        assert!(is_held(&one.attempt(now).await), "step {step}");
        assert!(!is_held(&other.attempt(now).await), "step {step}");
    }
}

#[compio::test]
async fn attempt_race() {
    let store = fakes::Store::default();
    let now = time::Instant::now();
    let mut contenders: Vec<_> = (0..5)
        .map(|n| contender(&store, &format!("n{n}")))
        .collect();
    let attempts = contenders.iter_mut().map(|one| one.attempt(now));
    let observed = futures_util::future::join_all(attempts).await;
    assert_eq!(observed.iter().filter(|one| is_held(one)).count(), 1);
}

#[compio::test]
async fn attempt_lost_renewal_cases() {
    let faults = |lost_answers, lost_requests| Faults {
        lost_answers,
        lost_requests,
        ..Faults::default()
    };
    let renewal = PERIOD / 2;
    for (name, faults, left) in [
        ("answer lost", faults(1, 0), PERIOD),
        ("request lost", faults(0, 1), PERIOD - renewal),
    ] {
        let store = fakes::Store::default();
        let start = time::Instant::now();
        let mut one = contender(&store, "n1");
        assert!(is_held(&one.attempt(start).await), "{name}");
        store.set_faults(faults);
        let lost = one.attempt(start + renewal).await;
        assert!(matches!(lost, Err(Error::Unknown(_))), "{name}: {lost:?}");
        assert_eq!(one.left(start + renewal), Some(PERIOD - renewal), "{name}");
        // Settling reads the truth back; the renewal that follows it is not admitted.
        store.set_faults(Faults {
            lost_requests: 1,
            ..Faults::default()
        });
        assert!(one.attempt(start + renewal).await.is_err(), "{name}");
        assert_eq!(one.left(start + renewal), Some(left), "{name}");
    }
}

#[compio::test]
async fn attempt_lost_answer_settled() {
    let store = fakes::Store::default();
    let start = time::Instant::now();
    let mut one = contender(&store, "n1");
    store.set_faults(Faults {
        lost_answers: 1,
        ..Faults::default()
    });
    assert!(matches!(one.attempt(start).await, Err(Error::Unknown(_))));
    assert_eq!(one.token(start), None);
    assert!(is_held(&one.attempt(start + PERIOD / 4).await));
}

#[compio::test]
async fn close_frees() {
    let store = fakes::Store::default();
    let now = time::Instant::now();
    let (mut one, mut other) = (contender(&store, "n1"), contender(&store, "n2"));
    assert!(is_held(&one.attempt(now).await));
    assert!(!is_held(&other.attempt(now).await));
    one.close().await.expect("the store answers");
    assert!(is_held(&other.attempt(now).await));
}

#[compio::test]
async fn lease_that_the_store_has_lost_gets_no_second_holder() {
    let store = fakes::Store::default();
    let copy = store.copy();
    store.restore(copy.clone());
    let (mut one, mut other) = (contender(&store, "n1"), contender(&store, "n2"));
    let start = time::Instant::now();
    assert!(
        !is_held(&one.attempt(start).await),
        "a holder may be unknown here"
    );
    let held_at = start + PERIOD * 2;
    assert!(is_held(&one.attempt(held_at).await));
    let first = one.token(held_at).expect("it is held");
    store.restore(copy);
    let during = held_at + PERIOD / 2;
    assert!(
        !is_held(&other.attempt(during).await),
        "the first holder counts its period still"
    );
    assert!(one.token(during).is_some());
    let end = during + PERIOD * 2;
    assert!(is_held(&other.attempt(end).await));
    assert_eq!(one.token(end), None);
    assert!(
        other.token(end).expect("it is held") > first,
        "the token goes back"
    );
}
