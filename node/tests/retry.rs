//! Whether a request is sent again.

use std::time::Duration;

use node::call::{Decision, Retry};
use upstream::Outcome;

/// An idempotent request whose backend server has just failed it.
const FAILED: Decision = Decision {
    outcome: Outcome::Ran,
    idempotent: true,
    replayable: true,
    retried_upstream: false,
    attempts: 1,
    reached: 1,
    max_reached: 3,
    time_left: Duration::from_millis(500),
    usual: Duration::from_millis(250),
};

#[test]
fn allows_in_time() {
    // Milliseconds left, usual milliseconds.
    let cases = [
        (500, 250, true),
        (125, 250, true),
        (124, 250, false),
        (5, 250, false),
        (5, 0, true),
        (1, 0, false),
    ];
    let retry = Retry {
        failures: true,
        ..Retry::default()
    };
    for (left, usual, allowed) in cases {
        let decision = Decision {
            time_left: Duration::from_millis(left),
            usual: Duration::from_millis(usual),
            ..FAILED
        };
        assert_eq!(retry.allows(&decision), allowed, "{left} of {usual} ms");
    }
}

#[test]
fn allows_by_outcome() {
    use Outcome::{NotRun, Ran, Unknown};
    // Outcome, idempotent, whether failures are repeated.
    let cases = [
        (NotRun, false, false, true),
        (Unknown, false, true, false),
        (Unknown, true, false, true),
        (Ran, false, true, false),
        (Ran, true, false, false),
        (Ran, true, true, true),
    ];
    for (outcome, idempotent, failures, allowed) in cases {
        let retry = Retry {
            failures,
            ..Retry::default()
        };
        let decision = Decision {
            outcome,
            idempotent,
            ..FAILED
        };
        assert_eq!(retry.allows(&decision), allowed, "{outcome}, {idempotent}");
    }
}
