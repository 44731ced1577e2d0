//! Outcomes of moves and their summary.

use std::fmt;

use moves::Analysis;
use serde::Serialize;

use crate::version::Version;

/// End of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    Done,
    TakenBack,
}

/// Outcome of one move.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) end: Option<End>,
    pub(crate) reason: String,
    pub(crate) in_time: bool,
    /// Number of requests to the service during the move.
    pub(crate) requests: u64,
    /// Number of requests that were harmed by a bad version.
    pub(crate) harmed: u64,
    pub(crate) highest_share: units::Share,
    pub(crate) violations: u64,
}

/// Summary of all moves under one analysis.
#[derive(Debug, Serialize)]
pub(crate) struct Summary {
    analysis: Analysis,
    good: u64,
    good_done_in_time: u64,
    good_taken_back: u64,
    bad: u64,
    bad_taken_back: u64,
    /// Number of moves of bad versions in which more than 2% of the requests were harmed.
    bad_over_2_percent: u64,
    exposure_mean_percent: f64,
    exposure_worst_percent: f64,
    not_ended: u64,
    violations: u64,
    /// Descriptions of good versions that were taken back and of bad ones that were not.
    remarks: Vec<String>,
    #[serde(skip)]
    exposures: Vec<f64>,
}

impl Summary {
    /// Maximum number of remarks.
    const MAX_REMARKS: usize = 12;

    fn remark(&mut self, text: String) {
        if self.remarks.len() < Self::MAX_REMARKS {
            self.remarks.push(text);
        }
    }

    pub(crate) fn new(analysis: Analysis) -> Self {
        Self {
            analysis,
            good: 0,
            good_done_in_time: 0,
            good_taken_back: 0,
            bad: 0,
            bad_taken_back: 0,
            bad_over_2_percent: 0,
            exposure_mean_percent: 0.0,
            exposure_worst_percent: 0.0,
            not_ended: 0,
            violations: 0,
            remarks: Vec::new(),
            exposures: Vec::new(),
        }
    }

    /// Adds one move.
    pub(crate) fn add(&mut self, version: Version, outcome: &Outcome) {
        self.violations += outcome.violations;
        self.not_ended += u64::from(outcome.end.is_none());
        if version == Version::Good {
            self.add_good(outcome);
        } else {
            self.add_bad(version, outcome);
        }
    }

    fn add_good(&mut self, outcome: &Outcome) {
        self.good += 1;
        let is_done = outcome.end == Some(End::Done);
        self.good_done_in_time += u64::from(is_done && outcome.in_time);
        self.good_taken_back += u64::from(outcome.end == Some(End::TakenBack));
        if !is_done || !outcome.in_time {
            let (end, reason) = (outcome.end, &outcome.reason);
            self.remark(format!("good: {end:?} {reason}"));
        }
    }

    fn add_bad(&mut self, version: Version, outcome: &Outcome) {
        self.bad += 1;
        self.bad_taken_back += u64::from(outcome.end == Some(End::TakenBack));
        // Far below 2^52 requests.
        #[allow(clippy::cast_precision_loss)]
        let percent = 100.0 * outcome.harmed as f64 / outcome.requests.max(1) as f64;
        self.bad_over_2_percent += u64::from(percent > 2.0);
        self.exposures.push(percent);
        let count = f64::from(u32::try_from(self.exposures.len()).unwrap_or(u32::MAX));
        self.exposure_mean_percent = self.exposures.iter().sum::<f64>() / count;
        self.exposure_worst_percent = self.exposure_worst_percent.max(percent);
        if outcome.end != Some(End::TakenBack) || percent > 2.0 {
            let (end, highest) = (outcome.end, outcome.highest_share);
            self.remark(format!(
                "{version:?}: {end:?}, {percent:.2}% harmed, highest share {highest}"
            ));
        }
    }

    /// Column headers.
    pub(crate) fn header() -> &'static str {
        "analysis    good done in time  good taken back  bad taken back  harmed mean/worst    over 2%  not ended  violations"
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let analysis = format!("{:?}", self.analysis);
        let done = format!("{}/{}", self.good_done_in_time, self.good);
        let back = format!("{}/{}", self.bad_taken_back, self.bad);
        let exposure = format!(
            "{:.3}% / {:.2}%",
            self.exposure_mean_percent, self.exposure_worst_percent
        );
        write!(
            formatter,
            "{analysis:<10}  {done:<17}  {:<15}  {back:<14}  {exposure:<18}  {:<7}  {:<9}  {}",
            self.good_taken_back, self.bad_over_2_percent, self.not_ended, self.violations
        )
    }
}
