//! Figures of one phase.

use std::fmt;

use compact_str::CompactString;
use serde::Serialize;

use super::Variant;
use crate::caller::Outcome;
use crate::driver::Done;
use crate::faults::{Fault, Struck};
use crate::judge::Verdict;
use crate::report::{Histogram, Quantiles};

/// Figures of one phase.
#[derive(Debug, Clone, Serialize)]
pub struct Phase {
    /// Its name.
    pub name: CompactString,
    /// What was measured.
    pub variant: Variant,
    /// Single figures with their names, which hold the unit.
    pub figures: Vec<Figure>,
    /// Latencies.
    pub latencies: Vec<Latency>,
    /// Calls by what became of them.
    pub outcomes: Vec<(Outcome, u64)>,
    /// Share of the calls that were answered, by the second in which they were due.
    pub timeline: Vec<f64>,
    /// The judge's verdict, where the phase has one.
    pub verdict: Option<Verdict>,
    /// The schedule of faults.
    pub schedule: Vec<Fault>,
    /// What the schedule did.
    pub struck: Option<Struck>,
    /// Lines of the plot.
    #[serde(skip)]
    pub lines: Vec<(CompactString, Vec<(f64, f64)>)>,
}

/// A single figure.
#[derive(Debug, Clone, Serialize)]
pub struct Figure {
    /// Its name, with the unit.
    pub name: &'static str,
    /// Its value.
    pub value: f64,
}

/// Quantiles of a latency.
#[derive(Debug, Clone, Serialize)]
pub struct Latency {
    /// Of what.
    pub name: CompactString,
    /// Its quantiles.
    pub quantiles: Quantiles,
}

impl Phase {
    /// A phase without figures.
    #[must_use]
    pub fn new(name: &str, variant: Variant) -> Self {
        Self {
            name: name.into(),
            variant,
            figures: Vec::new(),
            latencies: Vec::new(),
            outcomes: Vec::new(),
            timeline: Vec::new(),
            verdict: None,
            schedule: Vec::new(),
            struck: None,
            lines: Vec::new(),
        }
    }

    /// Adds a figure.
    pub fn add(&mut self, name: &'static str, value: f64) {
        self.figures.push(Figure { name, value });
    }

    /// Adds the latencies of the answered calls among `calls`, as a plot too.
    pub fn add_latency(&mut self, name: &str, calls: &[Done]) -> Quantiles {
        let histogram = latencies(calls);
        let quantiles = histogram.quantiles();
        self.latencies.push(Latency {
            name: name.into(),
            quantiles,
        });
        self.lines.push((name.into(), histogram.points()));
        quantiles
    }

    /// Counts the calls by what became of them, and by the second in which they were due.
    pub fn count(&mut self, calls: &[Done]) {
        let seconds = calls.chunk_by(|one, other| second(one) == second(other));
        self.timeline = seconds.map(answered_share).collect();
        for done in calls {
            let outcome = done.outcome();
            match self
                .outcomes
                .binary_search_by_key(&outcome, |(one, _)| *one)
            {
                Ok(place) => self.outcomes[place].1 += 1,
                Err(place) => self.outcomes.insert(place, (outcome, 1)),
            }
        }
    }

    /// Violations that the judge found, and graceful stops that were not.
    #[must_use]
    pub fn violations(&self) -> u64 {
        let found = self.verdict.as_ref().map_or(0, Verdict::total);
        let stops = self.struck.as_ref().map_or(0, |one| one.bad_stops.len());
        found + stops as u64
    }
}

/// Second of the plan in which the call was due.
fn second(done: &Done) -> u64 {
    done.planned.at.as_secs()
}

/// Latencies of the answered calls, from the scheduled time.
pub(super) fn latencies(calls: &[Done]) -> Histogram {
    let answered = calls.iter().filter(|done| is_answered(done));
    answered.map(|done| done.latency).collect()
}

/// Whether the call got its whole answer.
pub(super) fn is_answered(done: &Done) -> bool {
    done.outcome() == Outcome::Answered
}

/// Share of `calls` that got their whole answer.
pub(super) fn answered_share(calls: &[Done]) -> f64 {
    let answered = calls.iter().filter(|done| is_answered(done)).count();
    // Phases have far fewer calls than 2^52.
    #[allow(clippy::cast_precision_loss)]
    let share = answered as f64 / calls.len().max(1) as f64;
    share
}

impl fmt::Display for Phase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for figure in &self.figures {
            writeln!(formatter, "  {}: {:.3}", figure.name, figure.value)?;
        }
        for latency in &self.latencies {
            let one = latency.quantiles;
            writeln!(
                formatter,
                "  {}: p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms, {} calls",
                latency.name, one.p50_ms, one.p99_ms, one.p999_ms, one.count
            )?;
        }
        for (outcome, count) in &self.outcomes {
            writeln!(formatter, "  {outcome:?}: {count}")?;
        }
        if let Some(struck) = &self.struck {
            writeln!(formatter, "  faults: {:?}", struck.counts)?;
            for problem in &struck.bad_stops {
                writeln!(formatter, "  {problem}")?;
            }
        }
        if let Some(verdict) = &self.verdict {
            writeln!(
                formatter,
                "  violations: {} {:?}",
                verdict.total(),
                verdict.counts
            )?;
        }
        Ok(())
    }
}
