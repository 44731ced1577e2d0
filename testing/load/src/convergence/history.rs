//! When each version came into force on a node, read from the node's log.

use std::fs;

use serde::{Deserialize, Serialize};

use crate::fleet::Process;

/// A version that came into force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// When.
    pub at: units::Wall,
    /// The version.
    pub version: units::Version,
}

/// The versions that came into force on one node, and the starts of its process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct History {
    /// In the order of their time.
    pub entries: Vec<Entry>,
    /// When the process was started, in order.
    pub starts: Vec<units::Wall>,
}

/// A version that fell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Fall {
    /// The version before.
    pub from: units::Version,
    /// The lower version after it.
    pub to: units::Version,
    /// When.
    pub at: units::Wall,
    /// Whether the process was started in between.
    pub restarted: bool,
}

/// What a node logs when a version comes into force.
const IN_FORCE: &str = "configuration in force";
/// What a node logs when it holds enough to serve; earlier versions of the same life were never
/// shown to anyone.
const READY: &str = "configuration is ready";

#[derive(Deserialize)]
struct Line {
    time: String,
    message: String,
    version: Option<u64>,
}

/// A line about the configuration.
struct Step {
    entry: Entry,
    ready: bool,
}

impl Step {
    fn read(line: &str) -> Option<Self> {
        if !line.contains(IN_FORCE) && !line.contains(READY) {
            return None;
        }
        let line: Line = serde_json::from_str(line).ok()?;
        let ready = line.message == READY;
        let version = line.version.filter(|_| ready || line.message == IN_FORCE)?;
        let entry = Entry {
            at: line.time.parse().ok()?,
            version: units::Version(version),
        };
        Some(Self { entry, ready })
    }
}

impl History {
    /// Reads the log of `process`.
    #[must_use]
    pub fn read(process: &Process) -> Self {
        let text = fs::read_to_string(process.log()).unwrap_or_default();
        Self::parse(&text, process.starts().to_vec())
    }

    /// Reads the text of a log.
    #[must_use]
    pub fn parse(text: &str, starts: Vec<units::Wall>) -> Self {
        let mut history = Self {
            entries: Vec::new(),
            starts,
        };
        let (mut ready, mut last) = (false, units::Wall::default());
        for step in text.lines().filter_map(Step::read) {
            if history.started_between(last, step.entry.at).is_some() {
                ready = false;
            }
            last = step.entry.at;
            ready |= step.ready;
            if ready {
                history.entries.push(step.entry);
            }
        }
        history
    }

    /// When at least `version` was in force first after `from`; none when it never was.
    #[must_use]
    pub fn in_force(&self, version: units::Version, from: units::Wall) -> Option<units::Wall> {
        let fits = |entry: &&Entry| entry.version >= version && entry.at >= from;
        self.entries.iter().find(fits).map(|entry| entry.at)
    }

    /// The last start of the process between `from` and `to`.
    #[must_use]
    pub fn started_between(&self, from: units::Wall, to: units::Wall) -> Option<units::Wall> {
        let within = |start: &&units::Wall| **start > from && **start <= to;
        self.starts.iter().rev().find(within).copied()
    }

    /// Cases of a lower version after a higher one, restarts included.
    #[must_use]
    pub fn falls(&self) -> Vec<Fall> {
        let pairs = self.entries.windows(2);
        let fell = pairs.filter(|pair| pair[1].version < pair[0].version);
        fell.map(|pair| Fall {
            from: pair[0].version,
            to: pair[1].version,
            at: pair[1].at,
            restarted: self.started_between(pair[0].at, pair[1].at).is_some(),
        })
        .collect()
    }
}
