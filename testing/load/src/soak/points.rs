//! The promises of the mesh, and how each stands after a run.

use std::fmt;

use serde::Serialize;

use super::Race;
use super::gather::Gathered;
use crate::caller::Verb;
use crate::driver::Done;
use crate::faults::{Action, Struck};
use crate::judge::{Kind, Verdict};
use crate::moves::Observed;

/// How a promise stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It was put to the test and held.
    Held,
    /// It was broken.
    Violated,
    /// It is one of the users' measures rather than a promise, and was not reached in this run.
    Missed,
    /// Nothing in the run put it to the test.
    NotExercised,
}

/// A promise.
#[derive(Debug, Clone, Serialize)]
pub struct Point {
    /// What is promised.
    pub promise: &'static str,
    /// How it stands.
    pub standing: Standing,
    /// Figures behind that.
    pub evidence: String,
}

/// Everything that a run brought to light.
pub(super) struct Evidence<'a> {
    pub(super) calls: &'a [Done],
    pub(super) verdict: &'a Verdict,
    pub(super) struck: &'a Struck,
    pub(super) race: &'a Race,
    pub(super) gathered: &'a Gathered,
    /// The move to a good version and the one to a bad version.
    pub(super) moves: &'a [Option<Observed>; 2],
    /// Share of the calls to the bad version's service that failed by it.
    pub(super) harm: f64,
    /// Executions by the bad version after it was withheld for the limit.
    pub(super) late_exposure: u64,
    /// Graceful stops at the end that were not.
    pub(super) bad_stops: &'a [String],
}

/// Largest share of the calls that a bad version may harm.
const HARM_LIMIT: f64 = 0.02;

fn point(promise: &'static str, exercised: bool, broken: u64, evidence: String) -> Point {
    let standing = match (broken, exercised) {
        (1.., _) => Standing::Violated,
        (0, true) => Standing::Held,
        (0, false) => Standing::NotExercised,
    };
    Point {
        promise,
        standing,
        evidence,
    }
}

fn measure(promise: &'static str, reached: Option<bool>, evidence: String) -> Point {
    let standing = match reached {
        Some(true) => Standing::Held,
        Some(false) => Standing::Missed,
        None => Standing::NotExercised,
    };
    Point {
        promise,
        standing,
        evidence,
    }
}

impl Evidence<'_> {
    /// A line for each promise.
    pub(super) fn points(&self) -> Vec<Point> {
        let mut points = self.configuration();
        points.extend(self.requests());
        points.extend(self.stops());
        points.extend(self.moves());
        points.push(self.invariants());
        points
    }

    fn broken(&self, kind: Kind) -> u64 {
        let mut counts = self.verdict.counts.iter();
        let found = counts.find(|(one, _)| *one == kind);
        found.map_or(0, |(_, count)| *count)
    }

    fn struck(&self, action: Action) -> u64 {
        let mut counts = self.struck.counts.iter();
        let found = counts.find(|(one, _)| *one == action);
        found.map_or(0, |(_, count)| *count)
    }

    fn configuration(&self) -> Vec<Point> {
        let gathered = self.gathered;
        let newest = gathered.newest;
        let changed = newest > units::Version(1);
        let race = self.race;
        vec![
            point(
                "no node returns to an older version of the configuration",
                changed,
                gathered.falls.len() as u64,
                format!("{newest} versions, {} fell", gathered.falls.len()),
            ),
            point(
                "no route points at a resource that the node lacks",
                race.refused > 0,
                race.dangling,
                format!(
                    "{} dangling changes refused, {} accepted",
                    race.refused, race.dangling
                ),
            ),
            point(
                "racing operators never both win",
                race.one > 0,
                race.both,
                format!(
                    "{} pairs, one won in {}, both in {}",
                    race.pairs, race.one, race.both
                ),
            ),
            point(
                "an accepted configuration is in force everywhere and stays",
                changed,
                gathered.behind as u64,
                format!(
                    "{} nodes behind version {newest} at the end",
                    gathered.behind
                ),
            ),
        ]
    }

    fn requests(&self) -> Vec<Point> {
        let verdict = self.verdict;
        let crashes = self.calls.iter().filter(|done| done.planned.call.crash);
        let posts = self.calls.iter();
        let posts = posts
            .filter(|done| done.planned.call.verb == Verb::Post)
            .count();
        let wrong = self.broken(Kind::WrongAnswer) + self.broken(Kind::NeverRan);
        let twice = self.broken(Kind::RanTwice);
        let refused = self.broken(Kind::FalseNotRun);
        let unnamed = self.broken(Kind::UnnamedOutcome);
        let again = self.broken(Kind::CrashedAgain);
        let over = self.broken(Kind::OverLimit);
        vec![
            point(
                "every caller gets the whole answer to its own request",
                verdict.answered > 0,
                wrong,
                format!(
                    "{} of {} calls answered, {wrong} wrongly",
                    verdict.answered, verdict.calls
                ),
            ),
            point(
                "every refusal that says `not run` is true",
                verdict.not_run > 0,
                refused,
                format!("{} refused as not run, {refused} falsely", verdict.not_run),
            ),
            point(
                "every error of the mesh names its outcome",
                verdict.not_run + verdict.unknown > 0,
                unnamed,
                format!("{unnamed} without an outcome"),
            ),
            point(
                "a non-idempotent request runs at most once",
                posts > 0,
                twice,
                format!("{posts} such calls, {twice} ran twice"),
            ),
            point(
                "a request that crashes backend servers is stopped after two",
                crashes.clone().count() > 0,
                again,
                format!("{} such calls, {again} crashed more", crashes.count()),
            ),
            point(
                "a backend server gets no more requests a second than it names",
                verdict.limited > 0,
                over,
                format!(
                    "{} requests under a limit, {over} backend servers got more",
                    verdict.limited
                ),
            ),
        ]
    }

    fn stops(&self) -> Vec<Point> {
        let drains = self.struck(Action::Drain);
        let late = self.broken(Kind::LateWork);
        let bad = self.struck.bad_stops.len() + self.bad_stops.len();
        vec![
            point(
                "a leaving backend server receives no new work after two seconds",
                drains > 0,
                late,
                format!("{drains} drains, {late} requests too late"),
            ),
            point(
                "every planned stop is graceful",
                true,
                bad as u64,
                format!("{drains} drains and the stop of every process, {bad} not graceful"),
            ),
        ]
    }

    fn moves(&self) -> Vec<Point> {
        let [good, bad] = self.moves;
        let harmed = u64::from(self.harm > HARM_LIMIT);
        let ends = self.moves.iter().flatten();
        let wrong_ends: u64 = ends
            .clone()
            .map(|one| one.other_ends + u64::from(one.end.is_none()))
            .sum();
        vec![
            point(
                "a bad version receives only a small share of traffic",
                bad.is_some(),
                harmed,
                format!("{:.4} of the calls to its service failed by it", self.harm),
            ),
            point(
                "a bad version receives nothing soon after its badness shows",
                bad.as_ref().is_some_and(|one| one.withheld.is_some()),
                self.late_exposure,
                format!("{} requests too late", self.late_exposure),
            ),
            point(
                "a bad version is taken back",
                bad.is_some(),
                u64::from(bad.as_ref().is_some_and(|one| !ended(one, false))),
                describe(bad.as_ref()),
            ),
            measure(
                "a good version is completed in time",
                good.as_ref().map(|one| ended(one, true)),
                describe(good.as_ref()),
            ),
            point(
                "each move ends done or taken back, once",
                ends.count() > 0,
                wrong_ends,
                format!("{wrong_ends} with two ends or none"),
            ),
        ]
    }

    fn invariants(&self) -> Point {
        let gathered = self.gathered;
        let broken = gathered.counted.max(gathered.logged.len() as u64);
        point(
            "no invariant inside a node was violated",
            true,
            broken,
            format!(
                "{} counted, {} logged, {} nodes unread",
                gathered.counted,
                gathered.logged.len(),
                gathered.unread
            ),
        )
    }
}

fn ended(observed: &Observed, done: bool) -> bool {
    observed.end.as_ref().is_some_and(|end| end.done == done)
}

fn describe(observed: Option<&Observed>) -> String {
    let Some(observed) = observed else {
        return "no such move was started".to_owned();
    };
    match &observed.end {
        Some(end) if end.done => "it ended done".to_owned(),
        Some(_) => format!("it was taken back: {}", observed.reason),
        None => "it did not end".to_owned(),
    }
}

impl fmt::Display for Point {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let standing = match self.standing {
            Standing::Held => "held",
            Standing::Violated => "VIOLATED",
            Standing::Missed => "missed",
            Standing::NotExercised => "not exercised",
        };
        write!(
            formatter,
            "{standing:13} {} ({})",
            self.promise, self.evidence
        )
    }
}
