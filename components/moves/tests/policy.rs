//! Tests of the decisions of a move in simulated time.

use std::time;

use moves::{Action, Evidence, Facts, Fleet, Policy, Settings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const DURATION: time::Duration = time::Duration::from_secs(120);
const PERIOD: time::Duration = time::Duration::from_millis(500);
/// Slots that suffice for all traffic.
const AMPLE_SLOTS: u32 = 1_000;

/// Simulated behaviour of the service.
#[derive(Debug, Clone, Copy)]
struct Behaviour {
    /// Requests per period on each route.
    requests: u32,
    /// Failure rate of the new version on the route `book`.
    book_failures: f64,
    slowdown: f64,
    slots: u32,
    crashed: u32,
}

const GOOD: Behaviour = Behaviour {
    requests: 100,
    book_failures: 0.002,
    slowdown: 1.0,
    slots: AMPLE_SLOTS,
    crashed: 0,
};

/// Result of a simulated move.
#[derive(Debug)]
struct Outcome {
    action: Action,
    after: time::Duration,
    /// Phases in the order in which they started.
    phases: Vec<usize>,
}

/// Simulates a move; `behaviour` receives the phase and the time since the phase started.
fn simulate(behaviour: impl Fn(usize, time::Duration) -> Behaviour) -> Outcome {
    let settings = Settings::default();
    let start = time::Instant::now();
    let mut policy = Policy::new(&settings, 0.0025, start + DURATION, 0, start, start);
    let mut random = StdRng::seed_from_u64(7);
    let (mut now, mut since) = (start, start);
    let mut phases = Vec::new();
    loop {
        now += PERIOD;
        assert!(now < start + DURATION * 2, "the move does not end");
        let current = behaviour(policy.phase(), now - since);
        let share = policy.share(policy.phase()).as_fraction();
        let evidence = draw_evidence(current, share, &mut random);
        policy.judge_mut().absorb("ba", &evidence, now);
        let fleet = |crashed| Fleet { ready: 4, crashed };
        policy
            .judge_mut()
            .absorb_fleets(fleet(0), fleet(current.crashed), PERIOD);
        match policy.decide(
            now,
            Facts {
                slots: current.slots,
            },
        ) {
            Action::Hold(_) => {}
            Action::Step(phase) => {
                policy.begin(phase, now);
                since = now;
                phases.push(phase);
            }
            action => {
                return Outcome {
                    action,
                    after: now - start,
                    phases,
                };
            }
        }
    }
}

fn draw_evidence(behaviour: Behaviour, share: f64, random: &mut StdRng) -> Evidence {
    let mut evidence = Evidence::default();
    for route in ["book", "list"] {
        for _ in 0..behaviour.requests {
            let is_new = random.random_bool(share);
            let is_bad = is_new && route == "book";
            let rate = if is_bad {
                behaviour.book_failures
            } else {
                0.002
            };
            let factor = if is_new { behaviour.slowdown } else { 1.0 };
            let millis: f64 = random.random_range(10.0..30.0);
            let latency = time::Duration::from_secs_f64(millis * factor / 1_000.0);
            let pair = evidence.route(route);
            let counts = if is_new { &mut pair.new } else { &mut pair.old };
            counts.add(random.random_bool(rate), latency);
        }
    }
    evidence
}

fn reason(outcome: &Outcome) -> &str {
    match &outcome.action {
        Action::TakeBack(reason) => reason,
        other => panic!("not taken back: {other:?}"),
    }
}

#[test]
fn decide_good() {
    let outcome = simulate(|_, _| GOOD);
    assert_eq!(outcome.action, Action::Done);
    assert_eq!(outcome.phases, [1, 2, 3, 4, 5, 6]);
    assert!(outcome.after < DURATION);
}

type Scenario = fn(usize, time::Duration) -> Behaviour;

/// Simulates each case, given by its name, its behaviour, a part of the reason and the highest phase.
fn check_cases(cases: &[(&str, Scenario, &str, usize)]) {
    for (name, scenario, expected, highest) in cases {
        let outcome = simulate(scenario);
        let reason = reason(&outcome);
        assert!(reason.contains(expected), "{name}: {reason}");
        assert_eq!(
            outcome.phases.iter().max(),
            Some(highest),
            "{name}: {outcome:?}"
        );
        assert!(outcome.after <= DURATION, "{name}: {:?}", outcome.after);
    }
}

fn failing_late_at_full_share(phase: usize, elapsed: time::Duration) -> Behaviour {
    let is_bad = phase == 6 && elapsed.as_secs() >= 5;
    Behaviour {
        book_failures: if is_bad { 0.5 } else { GOOD.book_failures },
        ..GOOD
    }
}

fn failing_from_25_percent(phase: usize, _: time::Duration) -> Behaviour {
    Behaviour {
        book_failures: if phase >= 3 { 0.3 } else { GOOD.book_failures },
        ..GOOD
    }
}

fn crashing(phase: usize, elapsed: time::Duration) -> Behaviour {
    let crashes = phase > 0 && elapsed.as_millis().is_multiple_of(2_000);
    Behaviour {
        crashed: u32::from(crashes),
        ..GOOD
    }
}

fn no_slots_from_5_percent(phase: usize, _: time::Duration) -> Behaviour {
    Behaviour {
        slots: if phase >= 2 { 0 } else { AMPLE_SLOTS },
        ..GOOD
    }
}

#[test]
fn decide_fault_cases() {
    let one_route: Scenario = |_, _| Behaviour {
        book_failures: 0.5,
        ..GOOD
    };
    let slow: Scenario = |_, _| Behaviour {
        slowdown: 4.0,
        ..GOOD
    };
    check_cases(&[
        ("one route", one_route, "route `book`", 1),
        ("slow only", slow, "is slow more often", 1),
        ("late", failing_late_at_full_share, "fails more often", 6),
        ("under load", failing_from_25_percent, "fails more often", 3),
        ("crashes", crashing, "crashes of backend servers", 1),
    ]);
}

#[test]
fn decide_shortage_cases() {
    let no_traffic: Scenario = |_, _| Behaviour {
        requests: 0,
        ..GOOD
    };
    let few_slots: Scenario = |_, _| Behaviour { slots: 3, ..GOOD };
    check_cases(&[
        (
            "no traffic",
            no_traffic,
            "not shown to be good in time: 0 requests",
            1,
        ),
        (
            "few slots",
            few_slots,
            "slots of the new version do not take 50%",
            3,
        ),
        (
            "none ready",
            no_slots_from_5_percent,
            "no backend server of the new",
            2,
        ),
    ]);
}

#[test]
fn decide_steps_back_without_slots() {
    let outcome = simulate(|phase, elapsed| Behaviour {
        slots: if phase == 4 && elapsed.as_secs() < 4 {
            3
        } else {
            AMPLE_SLOTS
        },
        ..GOOD
    });
    assert!(
        outcome.phases.windows(2).any(|pair| pair == [4, 3]),
        "{:?}",
        outcome.phases
    );
}

#[test]
fn decide_resumed_after_the_deadline() {
    let settings = Settings::default();
    let start = time::Instant::now();
    let now = start + DURATION + time::Duration::from_secs(60);
    let facts = Facts { slots: AMPLE_SLOTS };
    let mut early = Policy::new(&settings, 0.0025, start + DURATION, 3, start, now);
    assert!(matches!(early.decide(now, facts), Action::TakeBack(_)));
    // The traffic had moved in time: only fresh evidence is needed before the end is written.
    let mut late = Policy::new(&settings, 0.0025, start + DURATION, 6, start, now);
    assert!(matches!(late.decide(now, facts), Action::Hold(_)));
    let mut random = StdRng::seed_from_u64(7);
    let mut later = now;
    for _ in 0..9 {
        later += PERIOD;
        late.judge_mut()
            .absorb("ba", &draw_evidence(GOOD, 0.95, &mut random), later);
    }
    assert_eq!(late.decide(later, facts), Action::Done);
}
