//! Figures of one stage.

use std::fmt;
use std::time;

use serde::Serialize;

use super::costs::Costs;
use super::{Change, Fall, History, Variant};
use crate::report::{Histogram, Quantiles};

/// Figures of one stage.
#[derive(Debug, Clone, Serialize)]
pub struct Stage {
    /// What was measured.
    pub variant: Variant,
    /// Number of nodes.
    pub nodes: usize,
    /// Changes that were sent.
    pub sent: usize,
    /// Changes that were accepted.
    pub accepted: usize,
    /// Changes whose outcome nobody knows or that were refused, with the reason.
    pub problems: Vec<String>,
    /// From sending a change to its being in force on the last node that ran all the time.
    pub last_node: Quantiles,
    /// From the answer to the change to the same.
    pub last_node_from_answer: Quantiles,
    /// From sending a change to its being in force, for each such node.
    pub each_node: Quantiles,
    /// From the start of a process to the newest version that was accepted before it.
    pub restarted: Quantiles,
    /// Cases of a change that never came into force on a node.
    pub missing: u64,
    /// Nodes killed and started again.
    pub kills: usize,
    /// What it cost.
    pub costs: Costs,
    /// Versions that fell.
    pub falls: Vec<Fall>,
    /// Versions that fell, changes that are missing, and violations that nodes counted.
    pub violations: u64,
}

/// Times of one stage.
#[derive(Default)]
struct Times {
    last: Histogram,
    from_answer: Histogram,
    each: Histogram,
    restarted: Histogram,
    missing: u64,
}

impl Times {
    fn add(&mut self, change: &Change, version: units::Version, histories: &[History]) {
        let mut last = change.sent;
        for history in histories {
            let Some(at) = history.in_force(version, change.sent) else {
                self.missing += 1;
                continue;
            };
            match history.started_between(change.sent, at) {
                Some(start) => self.restarted.add(at.since(start)),
                None => {
                    self.each.add(at.since(change.sent));
                    last = last.max(at);
                }
            }
        }
        self.last.add(last.since(change.sent));
        self.from_answer.add(last.since(change.answered));
    }
}

impl Stage {
    /// The figures of a stage.
    #[must_use]
    pub(super) fn new(
        variant: Variant,
        changes: &[Change],
        histories: &[History],
        kills: usize,
        costs: Costs,
    ) -> Self {
        let mut times = Times::default();
        for change in changes {
            if let Some(version) = change.version {
                times.add(change, version, histories);
            }
        }
        let accepted = changes.iter().filter(|one| one.version.is_some()).count();
        let falls: Vec<_> = histories.iter().flat_map(History::falls).collect();
        Self {
            variant,
            nodes: histories.len(),
            sent: changes.len(),
            accepted,
            problems: changes
                .iter()
                .filter_map(|one| one.problem.clone())
                .collect(),
            last_node: times.last.quantiles(),
            last_node_from_answer: times.from_answer.quantiles(),
            each_node: times.each.quantiles(),
            restarted: times.restarted.quantiles(),
            missing: times.missing,
            kills,
            costs,
            violations: falls.len() as u64 + times.missing + costs.violations,
            falls,
        }
    }
}

fn line(name: &str, one: Quantiles) -> String {
    format!(
        "{name}: p50 {:.0} ms, p99 {:.0} ms, largest {:.0} ms ({})",
        one.p50_ms, one.p99_ms, one.max_ms, one.count
    )
}

impl fmt::Display for Stage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let costs = &self.costs;
        let mebibytes = costs.memory_largest / (1024 * 1024);
        writeln!(
            formatter,
            "  changes: {} of {} accepted",
            self.accepted, self.sent
        )?;
        writeln!(
            formatter,
            "  {}",
            line("in force on the last node", self.last_node)
        )?;
        writeln!(
            formatter,
            "  {}",
            line("in force, each node", self.each_node)
        )?;
        if self.kills > 0 {
            writeln!(
                formatter,
                "  {} kills; {}",
                self.kills,
                line("restarted nodes", self.restarted)
            )?;
        }
        writeln!(
            formatter,
            "  bytes a node a second: mean {:.0}, largest {:.0}",
            costs.bytes_mean, costs.bytes_largest
        )?;
        writeln!(
            formatter,
            "  cores a node: mean {:.4}, largest {:.4}; memory: largest {mebibytes} MiB",
            costs.cores_mean, costs.cores_largest
        )?;
        writeln!(
            formatter,
            "  platform calls: {:.1} a second, {:.1} a change, {:?}",
            costs.platform_calls, costs.platform_calls_a_change, costs.calls
        )?;
        writeln!(
            formatter,
            "  missing: {}; violations: {}; unread nodes: {}",
            self.missing, self.violations, costs.unread
        )
    }
}

/// Longest wait for the last change to be in force everywhere.
pub(super) const IN_FORCE_LIMIT: time::Duration = time::Duration::from_secs(60);
