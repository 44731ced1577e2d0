//! Gathers what the processes know at the end.

use std::fs;

use serde::Serialize;

use crate::convergence::{Fall, History, sum_all};
use crate::fleet::{Mesh, Ports};
use crate::plain;

/// What the nodes know at the end.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Gathered {
    /// Violations that the nodes counted, by node and kind, as their dumps show them.
    pub violations: Vec<(String, serde_json::Value)>,
    /// Sum of these.
    pub counted: u64,
    /// Log lines of nodes about violated invariants and panics; they outlive a killed process.
    pub logged: Vec<String>,
    /// Nodes that could not be asked.
    pub unread: usize,
    /// Versions that fell, by node.
    pub falls: Vec<(String, Fall)>,
    /// Nodes that do not hold the newest version of all.
    pub behind: usize,
    /// Newest version that came into force anywhere.
    pub newest: units::Version,
}

/// What nodes log at error level when an invariant does not hold, or a task has panicked.
const INVARIANTS: [&str; 2] = ["invariant violated", "panicked"];
/// Lines that are kept.
const MOST_LINES: usize = 50;

impl Gathered {
    /// Asks every node and reads every log.
    pub(super) async fn collect(mesh: &Mesh) -> Self {
        let mut gathered = Self::default();
        for (index, process) in mesh.nodes.iter().enumerate() {
            let Some(process) = process else { continue };
            let admin = mesh.addresses().vm(index, Ports::ADMIN);
            gathered.read_dump(process.name(), admin).await;
            gathered.read_log(process);
        }
        gathered.read_histories(mesh);
        gathered
    }

    async fn read_dump(&mut self, name: &str, admin: units::Address) {
        let reply = plain::get(admin, "/dump").await.ok();
        let dump: Option<serde_json::Value> = reply.and_then(|reply| reply.json().ok());
        let Some(dump) = dump else {
            self.unread += 1;
            return;
        };
        let violations = dump.get("violations").cloned().unwrap_or_default();
        let count = sum_all(&violations);
        self.counted += count;
        if count > 0 {
            self.violations.push((name.to_owned(), violations));
        }
    }

    fn read_log(&mut self, process: &crate::fleet::Process) {
        let text = fs::read_to_string(process.log()).unwrap_or_default();
        let lines = text
            .lines()
            .filter(|line| INVARIANTS.iter().any(|said| line.contains(said)));
        let room = MOST_LINES.saturating_sub(self.logged.len());
        self.logged.extend(lines.take(room).map(str::to_owned));
    }

    fn read_histories(&mut self, mesh: &Mesh) {
        let nodes = mesh.nodes.iter().flatten();
        let names: Vec<_> = nodes.clone().map(|process| process.name()).collect();
        let histories: Vec<_> = nodes.map(History::read).collect();
        let last = |history: &History| {
            let entry = history.entries.last();
            entry.map(|entry| entry.version).unwrap_or_default()
        };
        for (name, history) in names.into_iter().zip(&histories) {
            let falls = history.falls().into_iter();
            self.falls.extend(falls.map(|fall| (name.to_owned(), fall)));
        }
        self.newest = histories.iter().map(last).max().unwrap_or_default();
        let behind = histories.iter().filter(|one| last(one) < self.newest);
        self.behind = behind.count();
    }
}
