//! The judge finds planted violations, and nothing in a faultless run.

use std::time;

use radishgap_backend::{Ending, Event, Run};
use radishgap_load::caller::{Call, Outcome, Seen, Verb};
use radishgap_load::driver::Done;
use radishgap_load::judge::{DRAIN_LIMIT_MS, Kind, Verdict};
use radishgap_load::plan::Planned;

/// A call `id` whose attempts saw `outcomes`.
fn done(id: &str, verb: Verb, outcomes: &[Outcome]) -> Done {
    let mut call = Call::get(id, "h", "/p");
    call.verb = verb;
    Done {
        planned: Planned {
            at: time::Duration::ZERO,
            call,
        },
        seen: outcomes.iter().copied().map(Seen::without_answer).collect(),
        latency: time::Duration::ZERO,
    }
}

/// The start of run `number` of call `id`.
fn start(number: u64, id: &str, leaving_ms: Option<u64>) -> Event {
    Event::Start(Box::new(Run {
        number,
        instance: 1,
        version: "v1".into(),
        request: "r".into(),
        call: id.into(),
        key: "".into(),
        method: "POST".into(),
        path: "/p".into(),
        attempt: 0,
        body_bytes: 0,
        start: units::Wall(0),
        leaving_ms,
        rate_limit: None,
        end: None,
        ending: None,
    }))
}

fn crash(number: u64) -> Event {
    Event::End(1, number, units::Wall(0), Ending::Crashed)
}

/// What a caller saw of call `c`, what backend servers wrote down, and what the judge shall find.
struct Case(
    &'static str,
    Verb,
    &'static [Outcome],
    Vec<Event>,
    Option<Kind>,
);

impl Case {
    fn check(self) {
        let Self(name, verb, outcomes, events, kind) = self;
        let verdict = Verdict::new(&[done("c", verb, outcomes)], &events);
        let kinds: Vec<_> = verdict.counts.iter().map(|(kind, _)| *kind).collect();
        assert_eq!(kinds, kind.into_iter().collect::<Vec<_>>(), "{name}");
        assert_eq!(verdict.total(), verdict.violations.len() as u64, "{name}");
    }
}

fn runs(count: u64) -> Vec<Event> {
    (0..count).map(|number| start(number, "c", None)).collect()
}

fn crashed(count: u64) -> Vec<Event> {
    let starts = runs(count).into_iter();
    starts.chain((0..count).map(crash)).collect()
}

fn leaving(ms: u64) -> Vec<Event> {
    vec![start(0, "c", Some(ms))]
}

#[test]
fn verdict_kept() {
    use Outcome::{Answered, NotRun, TimedOut, Unknown};
    let again: &[Outcome] = &[NotRun, Answered];
    let cases = [
        Case("answered", Verb::Post, &[Answered], runs(1), None),
        Case("refused", Verb::Post, &[NotRun], runs(0), None),
        Case("unknown, ran", Verb::Post, &[Unknown], runs(1), None),
        Case("unknown, idle", Verb::Post, &[TimedOut], runs(0), None),
        Case("sent again", Verb::Post, again, runs(1), None),
        Case("retried", Verb::Get, &[Answered], runs(3), None),
        Case(
            "in time",
            Verb::Get,
            &[Answered],
            leaving(DRAIN_LIMIT_MS),
            None,
        ),
        Case("two crashes", Verb::Get, &[Unknown], crashed(2), None),
    ];
    cases.into_iter().for_each(Case::check);
}

#[test]
fn verdict_broken() {
    use Kind::{CrashedAgain, FalseNotRun, LateWork, NeverRan, RanTwice, UnnamedOutcome};
    use Outcome::{Answered, NotRun, Unknown, Unnamed, Wrong};
    let (twice, none, late) = (runs(2), runs(0), leaving(DRAIN_LIMIT_MS + 1));
    let broken = |kind| Some(kind);
    let wrong = broken(Kind::WrongAnswer);
    let unnamed = broken(UnnamedOutcome);
    let again = broken(CrashedAgain);
    let cases = [
        Case(
            "twice",
            Verb::Post,
            &[Answered],
            twice.clone(),
            broken(RanTwice),
        ),
        Case("unseen", Verb::Post, &[Unknown], twice, broken(RanTwice)),
        Case(
            "refused",
            Verb::Post,
            &[NotRun],
            runs(1),
            broken(FalseNotRun),
        ),
        Case(
            "both",
            Verb::Get,
            &[NotRun, NotRun],
            runs(1),
            broken(FalseNotRun),
        ),
        Case(
            "invented",
            Verb::Get,
            &[Answered],
            none.clone(),
            broken(NeverRan),
        ),
        Case("short", Verb::Get, &[Wrong], runs(1), wrong),
        Case("unnamed", Verb::Get, &[Unnamed], none, unnamed),
        Case("late", Verb::Get, &[Answered], late, broken(LateWork)),
        Case("three crashes", Verb::Get, &[Unknown], crashed(3), again),
    ];
    cases.into_iter().for_each(Case::check);
}

#[test]
fn verdict_tells_calls_apart() {
    let calls = [
        done("c-1", Verb::Post, &[Outcome::Answered]),
        done("c-10", Verb::Post, &[Outcome::NotRun]),
        done("c-2", Verb::Post, &[Outcome::Answered]),
    ];
    let events = [start(0, "c-2", None), start(1, "c-1", None)];
    let verdict = Verdict::new(&calls, &events);
    assert_eq!(verdict.total(), 0, "{:?}", verdict.violations);
    assert_eq!(
        (verdict.calls, verdict.answered, verdict.not_run),
        (3, 2, 1)
    );
}

/// Runs of a backend server that has named `rate`, `gap_ms` apart.
fn limited(rate: f64, gap_ms: u64, count: u64) -> Vec<Event> {
    let run = |number| {
        let Event::Start(run) = start(number, "c", None) else {
            unreachable!("it is a start");
        };
        Event::Start(Box::new(Run {
            rate_limit: Some(units::Rate(rate)),
            start: units::Wall(number * gap_ms),
            ..*run
        }))
    };
    (0..count).map(run).collect()
}

#[test]
fn verdict_on_limits() {
    // 35 are allowed in four seconds at 5 a second.
    let cases = [
        ("kept", limited(5.0, 200, 100), 0),
        ("all that is allowed", limited(5.0, 115, 100), 0),
        ("broken", limited(5.0, 110, 100), 1),
        ("before it has to be kept", limited(5.0, 10, 200), 0),
    ];
    for (name, events, broken) in cases {
        let verdict = Verdict::new(&[], &events);
        let over = verdict
            .counts
            .iter()
            .filter(|(kind, _)| *kind == Kind::OverLimit);
        let over: u64 = over.map(|(_, count)| count).sum();
        assert_eq!(
            (over, verdict.limited),
            (broken, events.len() as u64),
            "{name}"
        );
    }
}
