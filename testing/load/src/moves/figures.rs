//! Figures of the moves of one variant.

use std::fmt;

use serde::Serialize;

use super::{Case, Observed, Sample, Variant};

/// A move and what became of it.
#[derive(Debug, Clone, Serialize)]
pub struct Ended {
    /// What the new version was like.
    pub case: Case,
    /// Service.
    pub service: String,
    /// Why it could not be started.
    pub refused: Option<String>,
    /// Deadline.
    pub deadline: units::Wall,
    /// What was seen of it.
    #[serde(flatten)]
    pub observed: Observed,
    /// Calls to the service from the start of the move to its end.
    pub calls: u64,
    /// Those that the new version ran.
    pub exposed: u64,
    /// Those that failed or were slow because the new version is bad.
    pub harmed: u64,
    /// Executions by the new version later than the limit after it was withheld.
    pub late_work: u64,
    /// Plot of the share.
    #[serde(skip)]
    pub samples: Vec<Sample>,
}

impl Ended {
    /// Whether it ended done by its deadline.
    #[must_use]
    pub fn is_done_in_time(&self) -> bool {
        let end = self.observed.end.as_ref();
        end.is_some_and(|end| end.done && end.at <= self.deadline)
    }

    /// Whether it was taken back.
    #[must_use]
    pub fn is_taken_back(&self) -> bool {
        self.observed.end.as_ref().is_some_and(|end| !end.done)
    }

    /// Share of the calls that were harmed.
    #[must_use]
    pub fn harm(&self) -> f64 {
        // Moves have far fewer calls than 2^52.
        #[allow(clippy::cast_precision_loss)]
        let share = self.harmed as f64 / self.calls.max(1) as f64;
        share
    }
}

/// Figures of all moves of one variant.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// What was measured.
    pub variant: Variant,
    /// Good versions, and those done in time.
    pub good: Part,
    /// Bad versions, and those taken back.
    pub bad: Part,
    /// Good versions, and those taken back.
    pub wrong_alarms: Part,
    /// Largest share of the calls that a bad version harmed.
    pub largest_harm: f64,
    /// Mean of the same over the bad versions.
    pub mean_harm: f64,
    /// Executions by a new version later than the limit after it was withheld.
    pub late_work: u64,
    /// Moves that could not be started.
    pub refused: usize,
    /// Moves that ended twice.
    pub two_ends: usize,
    /// Moves that did not end.
    pub no_end: usize,
    /// Moves with two ends or none, and late work.
    pub violations: u64,
    /// The moves.
    pub moves: Vec<Ended>,
}

/// A part of a whole.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Part {
    /// The part.
    pub part: usize,
    /// The whole.
    pub of: usize,
}

impl fmt::Display for Part {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of {}", self.part, self.of)
    }
}

impl Summary {
    /// The figures of `moves`.
    #[must_use]
    pub fn new(variant: Variant, moves: Vec<Ended>) -> Self {
        let started: Vec<_> = moves.iter().filter(|one| one.refused.is_none()).collect();
        let (good, bad): (Vec<&Ended>, Vec<&Ended>) =
            started.iter().partition(|one| one.case.is_good());
        let part = |of: &[&Ended], fits: fn(&Ended) -> bool| Part {
            part: of.iter().filter(|one| fits(one)).count(),
            of: of.len(),
        };
        let harms = bad.iter().map(|one| one.harm());
        let late_work = started.iter().map(|one| one.late_work).sum();
        let two_ends = started.iter().filter(|one| one.observed.other_ends > 0);
        let no_end = started.iter().filter(|one| one.observed.end.is_none());
        let (two_ends, no_end) = (two_ends.count(), no_end.count());
        // Experiments have some hundred moves.
        #[allow(clippy::cast_precision_loss)]
        let mean_harm = harms.clone().sum::<f64>() / bad.len().max(1) as f64;
        Self {
            variant,
            good: part(&good, Ended::is_done_in_time),
            bad: part(&bad, Ended::is_taken_back),
            wrong_alarms: part(&good, Ended::is_taken_back),
            largest_harm: harms.fold(0.0, f64::max),
            mean_harm,
            late_work,
            refused: moves.len() - started.len(),
            two_ends,
            no_end,
            violations: late_work + (two_ends + no_end) as u64,
            moves,
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for one in &self.moves {
            let end = match &one.observed.end {
                Some(end) if end.done => "done",
                Some(_) => "taken back",
                None => "no end",
            };
            writeln!(
                formatter,
                "  {}: {end}; {} calls, {} by the new version, {} harmed; {}",
                one.case, one.calls, one.exposed, one.harmed, one.observed.reason
            )?;
        }
        writeln!(formatter, "  good versions done in time: {}", self.good)?;
        writeln!(formatter, "  bad versions taken back: {}", self.bad)?;
        writeln!(
            formatter,
            "  good versions taken back: {}",
            self.wrong_alarms
        )?;
        writeln!(
            formatter,
            "  share of calls harmed by a bad version: mean {:.4}, largest {:.4}",
            self.mean_harm, self.largest_harm
        )?;
        writeln!(
            formatter,
            "  late work {}, refused {}, two ends {}, no end {}, violations {}",
            self.late_work, self.refused, self.two_ends, self.no_end, self.violations
        )
    }
}
