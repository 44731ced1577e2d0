//! What convergence costs: bytes between nodes, platform calls, processor time and memory.

use std::time;

use serde::{Deserialize, Serialize};

use crate::fleet::{Mesh, Ports, Process, Usage};
use crate::plain;

/// State of all counters at one time.
#[derive(Debug, Clone, Default)]
pub(super) struct Reading {
    at: Option<time::Instant>,
    platform: Calls,
    /// By node; none where it did not answer.
    nodes: Vec<Option<Node>>,
}

#[derive(Debug, Clone, Copy)]
struct Node {
    usage: Usage,
    bytes: u64,
    violations: u64,
}

/// Calls that the platform counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Calls {
    /// Reads of one object.
    pub reads: u64,
    /// Creates and updates.
    pub writes: u64,
    /// Removes.
    pub removes: u64,
    /// Lists.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
}

/// What one stage cost.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Costs {
    /// Bytes that a node sent and received a second, all nodes' mean.
    pub bytes_mean: f64,
    /// The same of the node with the most.
    pub bytes_largest: f64,
    /// Processor time of a node, in cores, all nodes' mean.
    pub cores_mean: f64,
    /// The same of the node with the most.
    pub cores_largest: f64,
    /// Resident memory of the node with the most, in bytes.
    pub memory_largest: u64,
    /// Platform calls a second.
    pub platform_calls: f64,
    /// Platform calls a change.
    pub platform_calls_a_change: f64,
    /// Calls by kind.
    pub calls: Calls,
    /// Nodes that could not be read both before and after, such as restarted ones.
    pub unread: usize,
    /// Violations that the nodes counted, at the end.
    pub violations: u64,
}

impl Calls {
    fn since(self, earlier: Self) -> Self {
        Self {
            reads: self.reads - earlier.reads,
            writes: self.writes - earlier.writes,
            removes: self.removes - earlier.removes,
            lists: self.lists - earlier.lists,
            watches: self.watches - earlier.watches,
        }
    }

    fn total(self) -> u64 {
        self.reads + self.writes + self.removes + self.lists + self.watches
    }
}

impl Reading {
    /// Reads the counters of the platform and of every node.
    pub(super) async fn take(mesh: &Mesh) -> Self {
        let mut nodes = Vec::with_capacity(mesh.nodes.len());
        for (index, process) in mesh.nodes.iter().enumerate() {
            let admin = mesh.addresses().vm(index, Ports::ADMIN);
            nodes.push(read_node(process.as_ref(), admin).await);
        }
        let control = mesh.addresses().platform(Ports::PLATFORM_CONTROL);
        let counts = plain::get(control, "/counts").await.ok();
        let platform = counts.and_then(|reply| reply.json().ok());
        Self {
            at: Some(time::Instant::now()),
            platform: platform.unwrap_or_default(),
            nodes,
        }
    }

    /// What happened since `earlier`, during which `changes` changes were accepted.
    pub(super) fn costs_since(&self, earlier: &Self, changes: usize) -> Costs {
        let (Some(from), Some(to)) = (earlier.at, self.at) else {
            return Costs::default();
        };
        let elapsed = to.duration_since(from);
        let pairs: Vec<_> = earlier
            .nodes
            .iter()
            .zip(&self.nodes)
            .filter_map(|(before, after)| before.zip(*after))
            // The counters of a restarted process begin anew.
            .filter(|(before, after)| {
                after.bytes >= before.bytes && after.usage.cpu_s >= before.usage.cpu_s
            })
            .collect();
        let seconds = elapsed.as_secs_f64();
        // Counters of a stage are far below 2^52.
        #[allow(clippy::cast_precision_loss)]
        let rate = |count: u64| count as f64 / seconds;
        let bytes = pairs
            .iter()
            .map(|(before, after)| rate(after.bytes - before.bytes));
        let cores = pairs
            .iter()
            .map(|(before, after)| after.usage.cores_since(before.usage, elapsed));
        let calls = self.platform.since(earlier.platform);
        let now = self.nodes.iter().flatten();
        Costs {
            bytes_mean: mean(bytes.clone()),
            bytes_largest: bytes.fold(0.0, f64::max),
            cores_mean: mean(cores.clone()),
            cores_largest: cores.fold(0.0, f64::max),
            memory_largest: now
                .clone()
                .map(|node| node.usage.rss_bytes)
                .max()
                .unwrap_or(0),
            platform_calls: rate(calls.total()),
            platform_calls_a_change: rate(calls.total()) * seconds / changes.max(1) as f64,
            calls,
            unread: self.nodes.len() - pairs.len(),
            violations: now.map(|node| node.violations).sum(),
        }
    }
}

async fn read_node(process: Option<&Process>, admin: units::Address) -> Option<Node> {
    let usage = process?.usage()?;
    let reply = plain::get(admin, "/dump").await.ok()?;
    let dump: serde_json::Value = reply.json().ok()?;
    let traffic = dump.get("peer");
    let sent = traffic.map_or(0, |part| sum(part, "sent_bytes"));
    let received = traffic.map_or(0, |part| sum(part, "received_bytes"));
    Some(Node {
        usage,
        bytes: sent + received,
        violations: dump.get("violations").map_or(0, sum_all),
    })
}

/// Sum of every whole number called `name` in `value`.
fn sum(value: &serde_json::Value, name: &str) -> u64 {
    match value {
        serde_json::Value::Object(fields) => fields
            .iter()
            .map(|(key, field)| match field.as_u64() {
                Some(number) if key == name => number,
                _ => sum(field, name),
            })
            .sum(),
        serde_json::Value::Array(items) => items.iter().map(|item| sum(item, name)).sum(),
        _ => 0,
    }
}

/// Sum of every whole number in `value`.
#[must_use]
pub fn sum_all(value: &serde_json::Value) -> u64 {
    match value {
        serde_json::Value::Object(fields) => fields.values().map(sum_all).sum(),
        serde_json::Value::Array(items) => items.iter().map(sum_all).sum(),
        other => other.as_u64().unwrap_or_default(),
    }
}

fn mean(values: impl Iterator<Item = f64> + Clone) -> f64 {
    let count = values.clone().count();
    // A few hundred nodes.
    #[allow(clippy::cast_precision_loss)]
    let mean = values.sum::<f64>() / count.max(1) as f64;
    mean
}
