//! Compares what callers were told with what backend servers ran.

mod limit;

use compact_str::CompactString;
use radishgap_backend::{Ending, Event, Run};
use serde::Serialize;

use crate::caller::Outcome;
use crate::driver::Done;

units::record! {
    /// How often each promise was kept and broken.
    #[derive(Default, Serialize)]
    pub struct Verdict {
        /// Calls that were judged.
        pub calls: u64,
        /// Calls that got their whole answer.
        pub answered: u64,
        /// Calls that were refused as not run.
        pub not_run: u64,
        /// Calls whose outcome the caller does not know.
        pub unknown: u64,
        /// Executions that backend servers recorded.
        pub runs: u64,
        /// Non-idempotent calls among all.
        pub once: u64,
        /// Requests that began on a backend server while it was leaving.
        pub leaving: u64,
        /// Requests that began on a backend server which had named a rate.
        pub limited: u64,
        /// What was violated, one entry a case, bounded in number.
        pub violations: Vec<Violation>,
        /// Number of violations by kind, those left out of the list included.
        pub counts: Vec<(Kind, u64)>,
    }

    /// A broken promise.
    #[derive(Serialize)]
    pub struct Violation {
        /// Which promise.
        pub kind: Kind,
        /// The call.
        pub call: CompactString,
        /// What was seen.
        pub detail: String,
    }
}

/// A promise that can be broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A non-idempotent call ran more than once.
    RanTwice,
    /// A call that ran was refused as not run.
    FalseNotRun,
    /// A call was answered with success though no backend server ran it.
    NeverRan,
    /// An answer was short or belonged to another call.
    WrongAnswer,
    /// An error of the mesh named no outcome.
    UnnamedOutcome,
    /// A leaving backend server was given new work too late.
    LateWork,
    /// One request crashed more backend servers than it may.
    CrashedAgain,
    /// A backend server got more requests a second than it had named.
    OverLimit,
}

/// Longest time after the start of a drain in which new work may still arrive.
pub const DRAIN_LIMIT_MS: u64 = 2_000;
/// Most crashes that one request may cause.
pub const MOST_CRASHES: usize = 2;
/// Violations that a verdict lists one by one.
const LISTED: usize = 100;

impl Verdict {
    /// Judges all calls of a run by all events that the backend servers wrote down.
    #[must_use]
    pub fn new(calls: &[Done], events: &[Event]) -> Self {
        let mut verdict = Self::default();
        let runs = sorted(events);
        verdict.runs = runs.len() as u64;
        for done in calls {
            verdict.judge_call(done, of(&runs, &done.planned.call.id));
        }
        for run in &runs {
            verdict.judge_run(run);
        }
        verdict.judge_crashes(&crashes(events, &runs));
        verdict.judge_limits(&runs);
        verdict
    }

    /// Number of all violations.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.counts.iter().map(|(_, count)| count).sum()
    }

    /// Executions a call.
    #[must_use]
    pub fn amplification(&self) -> f64 {
        // Runs have far fewer calls than 2^52.
        #[allow(clippy::cast_precision_loss)]
        let share = self.runs as f64 / self.calls.max(1) as f64;
        share
    }

    fn add(&mut self, kind: Kind, call: &str, detail: String) {
        match self.counts.binary_search_by_key(&kind, |(kind, _)| *kind) {
            Ok(place) => self.counts[place].1 += 1,
            Err(place) => self.counts.insert(place, (kind, 1)),
        }
        if self.violations.len() < LISTED {
            let call = call.into();
            self.violations.push(Violation { kind, call, detail });
        }
    }

    fn judge_call(&mut self, done: &Done, runs: &[&Run]) {
        let call = &done.planned.call;
        let outcome = done.outcome();
        self.calls += 1;
        match outcome {
            Outcome::Answered => self.answered += 1,
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown | Outcome::Broken | Outcome::TimedOut => self.unknown += 1,
            _ => {}
        }
        if !call.verb.is_idempotent() {
            self.once += 1;
            if runs.len() > 1 {
                let detail = format!("{} runs, the caller saw {outcome:?}", runs.len());
                self.add(Kind::RanTwice, &call.id, detail);
            }
        }
        let refused = |seen: &crate::caller::Seen| seen.outcome == Outcome::NotRun;
        if !done.seen.is_empty() && done.seen.iter().all(refused) && !runs.is_empty() {
            self.add(Kind::FalseNotRun, &call.id, format!("{} runs", runs.len()));
        }
        if outcome == Outcome::Answered && runs.is_empty() {
            self.add(Kind::NeverRan, &call.id, String::new());
        }
        for seen in &done.seen {
            let detail = format!("status {:?} by {}", seen.status, seen.instance);
            match seen.outcome {
                Outcome::Wrong => self.add(Kind::WrongAnswer, &call.id, detail),
                Outcome::Unnamed => self.add(Kind::UnnamedOutcome, &call.id, detail),
                _ => {}
            }
        }
    }

    fn judge_run(&mut self, run: &Run) {
        let Some(leaving) = run.leaving_ms else {
            return;
        };
        self.leaving += 1;
        if leaving > DRAIN_LIMIT_MS {
            let detail = format!("{leaving} ms after the drain began");
            self.add(Kind::LateWork, &run.call, detail);
        }
    }

    fn judge_limits(&mut self, runs: &[&Run]) {
        let limited = runs.iter().filter(|run| run.rate_limit.is_some());
        self.limited = limited.count() as u64;
        for overrun in limit::overruns(runs) {
            let detail = format!("{} runs of {} in a window", overrun.got, overrun.allowed);
            self.add(Kind::OverLimit, &overrun.run.call, detail);
        }
    }

    fn judge_crashes(&mut self, crashes: &[CompactString]) {
        for group in crashes.chunk_by(|one, other| one == other) {
            if group.len() > MOST_CRASHES {
                let detail = format!("{} crashes", group.len());
                self.add(Kind::CrashedAgain, &group[0], detail);
            }
        }
    }
}

/// The runs, sorted by call.
fn sorted(events: &[Event]) -> Vec<&Run> {
    let starts = events.iter().filter_map(|event| match event {
        Event::Start(run) => Some(run.as_ref()),
        Event::End(..) => None,
    });
    let mut runs: Vec<_> = starts.collect();
    runs.sort_by(|one, other| one.call.cmp(&other.call));
    runs
}

/// The runs of one call.
fn of<'r, 'e>(runs: &'r [&'e Run], call: &str) -> &'r [&'e Run] {
    let first = runs.partition_point(|run| run.call.as_str() < call);
    let count = runs[first..].partition_point(|run| run.call == call);
    &runs[first..first + count]
}

/// The calls of the runs that ended in a crash, sorted.
fn crashes(events: &[Event], runs: &[&Run]) -> Vec<CompactString> {
    let mut crashed: Vec<_> = events
        .iter()
        .filter_map(|event| match event {
            Event::End(instance, number, _, Ending::Crashed) => Some((*instance, *number)),
            _ => None,
        })
        .collect();
    crashed.sort_unstable();
    let calls = runs.iter().filter(|run| {
        let key = (run.instance, run.number);
        crashed.binary_search(&key).is_ok()
    });
    let mut calls: Vec<_> = calls.map(|run| run.call.clone()).collect();
    calls.sort_unstable();
    calls
}
