//! Decisions of a move over virtual time.

use std::time;

use moves::{Action, Evidence, Facts, Fleet, Policy, Settings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const WHOLE: time::Duration = time::Duration::from_secs(120);
const PERIOD: time::Duration = time::Duration::from_millis(500);
/// Slots that suffice for all traffic.
const ENOUGH: u32 = 1_000;

/// What the service shows at a moment.
#[derive(Debug, Clone, Copy)]
struct Scene {
    /// Requests a period on each route.
    requests: u32,
    /// Rate of failures of the new version on the route `book`.
    book: f64,
    slowdown: f64,
    slots: u32,
    crashed: u32,
}

const GOOD: Scene = Scene {
    requests: 100,
    book: 0.002,
    slowdown: 1.0,
    slots: ENOUGH,
    crashed: 0,
};

/// What became of a move.
#[derive(Debug)]
struct Ending {
    action: Action,
    after: time::Duration,
    /// Phases in the order in which they began.
    phases: Vec<usize>,
}

/// Runs a move; `scene` says what it shows in a phase, and how long that phase has lasted.
fn play(scene: impl Fn(usize, time::Duration) -> Scene) -> Ending {
    let settings = Settings::default();
    let begin = time::Instant::now();
    let mut policy = Policy::new(&settings, 0.0025, begin + WHOLE, 0, begin, begin);
    let mut random = StdRng::seed_from_u64(7);
    let (mut now, mut since) = (begin, begin);
    let mut phases = Vec::new();
    loop {
        now += PERIOD;
        assert!(now < begin + WHOLE * 2, "it does not end");
        let shown = scene(policy.phase(), now - since);
        let share = policy.share(policy.phase()).as_fraction();
        let evidence = draw(shown, share, &mut random);
        policy.judge_mut().absorb("ba", &evidence, now);
        let fleet = |crashed| Fleet { ready: 4, crashed };
        policy
            .judge_mut()
            .absorb_fleets(fleet(0), fleet(shown.crashed), PERIOD);
        match policy.decide(now, Facts { slots: shown.slots }) {
            Action::Hold(_) => {}
            Action::Step(phase) => {
                policy.begin(phase, now);
                since = now;
                phases.push(phase);
            }
            action => {
                return Ending {
                    action,
                    after: now - begin,
                    phases,
                };
            }
        }
    }
}

fn draw(scene: Scene, share: f64, random: &mut StdRng) -> Evidence {
    let mut evidence = Evidence::default();
    for route in ["book", "list"] {
        for _ in 0..scene.requests {
            let is_new = random.random_bool(share);
            let is_bad = is_new && route == "book";
            let rate = if is_bad { scene.book } else { 0.002 };
            let factor = if is_new { scene.slowdown } else { 1.0 };
            let millis: f64 = random.random_range(10.0..30.0);
            let latency = time::Duration::from_secs_f64(millis * factor / 1_000.0);
            let pair = evidence.route(route);
            let counts = if is_new { &mut pair.new } else { &mut pair.old };
            counts.add(random.random_bool(rate), latency);
        }
    }
    evidence
}

fn reason(ending: &Ending) -> &str {
    match &ending.action {
        Action::Back(reason) => reason,
        other => panic!("not taken back: {other:?}"),
    }
}

#[test]
fn decide_good() {
    let ending = play(|_, _| GOOD);
    assert_eq!(ending.action, Action::Done);
    assert_eq!(ending.phases, [1, 2, 3, 4, 5, 6]);
    assert!(ending.after < WHOLE);
}

type Scenes = fn(usize, time::Duration) -> Scene;

/// Plays each case: its name, its scenes, a part of the reason and the highest phase.
fn check(cases: &[(&str, Scenes, &str, usize)]) {
    for (name, scenes, expected, highest) in cases {
        let ending = play(scenes);
        let reason = reason(&ending);
        assert!(reason.contains(expected), "{name}: {reason}");
        assert_eq!(
            ending.phases.iter().max(),
            Some(highest),
            "{name}: {ending:?}"
        );
        assert!(ending.after <= WHOLE, "{name}: {:?}", ending.after);
    }
}

fn late_at_full_share(phase: usize, lasted: time::Duration) -> Scene {
    let is_bad = phase == 6 && lasted.as_secs() >= 5;
    Scene {
        book: if is_bad { 0.5 } else { GOOD.book },
        ..GOOD
    }
}

fn bad_from_25_percent(phase: usize, _: time::Duration) -> Scene {
    Scene {
        book: if phase >= 3 { 0.3 } else { GOOD.book },
        ..GOOD
    }
}

fn crashing(phase: usize, lasted: time::Duration) -> Scene {
    let crashes = phase > 0 && lasted.as_millis().is_multiple_of(2_000);
    Scene {
        crashed: u32::from(crashes),
        ..GOOD
    }
}

fn without_slots_from_5_percent(phase: usize, _: time::Duration) -> Scene {
    Scene {
        slots: if phase >= 2 { 0 } else { ENOUGH },
        ..GOOD
    }
}

#[test]
fn decide_badness_cases() {
    let one_route: Scenes = |_, _| Scene { book: 0.5, ..GOOD };
    let slow: Scenes = |_, _| Scene {
        slowdown: 4.0,
        ..GOOD
    };
    check(&[
        ("one route", one_route, "route `book`", 1),
        ("slow only", slow, "is slow more often", 1),
        ("late", late_at_full_share, "fails more often", 6),
        ("under load", bad_from_25_percent, "fails more often", 3),
        ("crashes", crashing, "crashes of backend servers", 1),
    ]);
}

#[test]
fn decide_lack_cases() {
    let no_traffic: Scenes = |_, _| Scene {
        requests: 0,
        ..GOOD
    };
    let few_slots: Scenes = |_, _| Scene { slots: 3, ..GOOD };
    check(&[
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
            without_slots_from_5_percent,
            "no backend server of the new",
            2,
        ),
    ]);
}

#[test]
fn decide_steps_back_when_slots_go() {
    let ending = play(|phase, lasted| Scene {
        slots: if phase == 4 && lasted.as_secs() < 4 {
            3
        } else {
            ENOUGH
        },
        ..GOOD
    });
    assert!(
        ending.phases.windows(2).any(|pair| pair == [4, 3]),
        "{:?}",
        ending.phases
    );
}

#[test]
fn decide_resumed_after_the_deadline() {
    let settings = Settings::default();
    let begin = time::Instant::now();
    let now = begin + WHOLE + time::Duration::from_secs(60);
    let facts = Facts { slots: ENOUGH };
    let mut early = Policy::new(&settings, 0.0025, begin + WHOLE, 3, begin, now);
    assert!(matches!(early.decide(now, facts), Action::Back(_)));
    // The traffic had moved in time: the end only has to be written, after fresh evidence.
    let mut late = Policy::new(&settings, 0.0025, begin + WHOLE, 6, begin, now);
    assert!(matches!(late.decide(now, facts), Action::Hold(_)));
    let mut random = StdRng::seed_from_u64(7);
    let mut later = now;
    for _ in 0..9 {
        later += PERIOD;
        late.judge_mut()
            .absorb("ba", &draw(GOOD, 0.95, &mut random), later);
    }
    assert_eq!(late.decide(later, facts), Action::Done);
}
