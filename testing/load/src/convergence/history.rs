//! When each version came into force on a node, read from the node's log.

use std::fs;
use std::path;

use serde::Deserialize;

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

/// What a node logs when a version comes into force.
const MESSAGE: &str = "configuration in force";

#[derive(Deserialize)]
struct Line {
    time: String,
    message: String,
    version: Option<u64>,
}

impl History {
    /// Reads the log at `file` of a process with these `starts`.
    #[must_use]
    pub fn read(file: &path::Path, starts: Vec<units::Wall>) -> Self {
        let text = fs::read_to_string(file).unwrap_or_default();
        Self::parse(&text, starts)
    }

    /// Reads the text of a log.
    #[must_use]
    pub fn parse(text: &str, starts: Vec<units::Wall>) -> Self {
        let lines = text.lines().filter(|line| line.contains(MESSAGE));
        let entries = lines.filter_map(|line| {
            let line: Line = serde_json::from_str(line).ok()?;
            let version = line.version.filter(|_| line.message == MESSAGE)?;
            Some(Entry {
                at: line.time.parse().ok()?,
                version: units::Version(version),
            })
        });
        Self {
            entries: entries.collect(),
            starts,
        }
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

    /// Times at which a lower version followed a higher one, restarts included.
    #[must_use]
    pub fn reversals(&self) -> u64 {
        let pairs = self.entries.windows(2);
        let fell = pairs.filter(|pair| pair[1].version < pair[0].version);
        fell.count() as u64
    }
}
