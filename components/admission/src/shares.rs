//! Shares of workspaces in the work of a backend server.

use std::time;

use compact_str::CompactString;

/// Shares of workspaces in the work of a backend server, max-min fair.
///
/// The demand of a workspace is the expected runtime of its requests, refused ones included, as a sum that
/// decays. The level is the largest demand that fits next to the demands of the others: each workspace
/// gets what it asks, at most an equal part of what the smaller ones leave (water filling; D. Bertsekas and
/// R. Gallager, "Data Networks", 1987).
#[derive(Debug, Clone)]
pub struct Shares {
    /// Workspaces, sorted by name; the empty name stands for requests without a workspace.
    entries: Vec<Entry>,
    /// Time up to which all sums have decayed, and for which the level was found.
    at: time::Instant,
    /// Largest demand that is served in full, in milliseconds of slots; `None` if all are.
    level_ms: Option<f64>,
}

#[derive(Debug, Clone)]
struct Entry {
    workspace: CompactString,
    demand_ms: f64,
    served_ms: f64,
    /// Part of a request by which the marked ones lag behind the part that is over the share.
    excess: f64,
}

impl Shares {
    /// Time over which a past demand loses most of its weight.
    pub const WINDOW: time::Duration = time::Duration::from_secs(2);
    /// Time between two updates of the level.
    const UPDATE_PERIOD: time::Duration = time::Duration::from_millis(50);
    /// Maximum number of workspaces; beyond it the one with the least demand is forgotten.
    const MAX_WORKSPACES: usize = 1_024;
    /// Demand below which a workspace is forgotten, in milliseconds of slots.
    const DEMAND_MIN_MS: f64 = 0.1;
    /// Runtime that is assumed before the first run of a route, in milliseconds.
    const RUNTIME_MIN_MS: f64 = 1.0;

    /// Creates shares without a workspace.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            entries: Vec::new(),
            at: now,
            level_ms: None,
        }
    }

    /// Whether no workspace is known, so that there is nothing to share.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Counts a request of `workspace` with this `expected` runtime that has arrived for `slots` slots.
    pub fn arrive(
        &mut self,
        workspace: &CompactString,
        expected: time::Duration,
        slots: usize,
        now: time::Instant,
    ) {
        if workspace.is_empty() && self.is_empty() {
            return;
        }
        if now.saturating_duration_since(self.at) >= Self::UPDATE_PERIOD {
            self.update(slots, now);
        }
        self.entry(workspace).demand_ms += work_ms(expected);
    }

    /// Counts a request of `workspace` with this `expected` runtime that has started.
    pub fn serve(&mut self, workspace: &CompactString, expected: time::Duration) {
        if let Ok(index) = self.find(workspace) {
            self.entries[index].served_ms += work_ms(expected);
        }
    }

    /// Whether the next request of `workspace` that has to wait is over its share.
    ///
    /// Of the requests of a workspace over its share, as many are marked as its demand exceeds the level,
    /// evenly, so that the others keep its share.
    pub fn mark(&mut self, workspace: &CompactString) -> bool {
        let (Some(level), Ok(index)) = (self.level_ms, self.find(workspace)) else {
            return false;
        };
        let entry = &mut self.entries[index];
        if workspace.is_empty() || entry.demand_ms <= level {
            entry.excess = 0.0;
            return false;
        }
        entry.excess += 1.0 - level / entry.demand_ms;
        let is_over = entry.excess >= 1.0;
        entry.excess -= f64::from(u8::from(is_over));
        is_over
    }

    /// Workspaces whose demand exceeds their share, by name.
    pub fn over(&self) -> impl Iterator<Item = &CompactString> {
        let over = self.entries.iter().filter(|entry| {
            let exceeds = self.level_ms.is_some_and(|level| entry.demand_ms > level);
            exceeds && !entry.workspace.is_empty()
        });
        over.map(|entry| &entry.workspace)
    }

    /// Mean of what the worst tenth of the workspaces was served, as a fraction of its share; `None` without
    /// a workspace.
    #[must_use]
    pub fn worst_tenth(&self) -> Option<f64> {
        /// Demand below which too few requests make the fraction meaningful, in milliseconds of slots.
        const DEMAND_MIN_MS: f64 = 10.0;
        let level = self.level_ms.unwrap_or(f64::INFINITY);
        let asking = self
            .entries
            .iter()
            .filter(|entry| !entry.workspace.is_empty() && entry.demand_ms >= DEMAND_MIN_MS);
        let served = asking.map(|entry| entry.served_ms / entry.demand_ms.min(level).max(1.0));
        let mut served: Vec<f64> = served.collect();
        served.sort_by(f64::total_cmp);
        served.truncate(served.len().div_ceil(10));
        // A small number of workspaces.
        #[allow(clippy::cast_precision_loss)]
        let count = served.len() as f64;
        (count > 0.0).then(|| served.iter().sum::<f64>() / count)
    }

    /// Decays all sums up to `now` and finds the level.
    fn update(&mut self, slots: usize, now: time::Instant) {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let kept = (-age / Self::WINDOW.as_secs_f64()).exp();
        self.at = now;
        for entry in &mut self.entries {
            entry.demand_ms *= kept;
            entry.served_ms *= kept;
        }
        self.entries
            .retain(|entry| entry.demand_ms >= Self::DEMAND_MIN_MS);
        // A small number of slots.
        #[allow(clippy::cast_precision_loss)]
        let room_ms = slots.max(1) as f64 * Self::WINDOW.as_secs_f64() * 1_000.0;
        self.level_ms = self.find_level(room_ms);
    }

    /// Finds the level at which the demands fill `room_ms`; requests without a workspace are served first.
    fn find_level(&self, room_ms: f64) -> Option<f64> {
        let is_named = |entry: &&Entry| !entry.workspace.is_empty();
        let unnamed = self.entries.iter().filter(|entry| !is_named(entry));
        let unnamed: f64 = unnamed.map(|entry| entry.demand_ms).sum();
        let named = self.entries.iter().filter(is_named);
        let mut demands: Vec<f64> = named.map(|entry| entry.demand_ms).collect();
        demands.sort_by(f64::total_cmp);
        let mut left = (room_ms - unnamed).max(0.0);
        for (index, demand) in demands.iter().enumerate() {
            // A small number of workspaces.
            #[allow(clippy::cast_precision_loss)]
            let equal = left / (demands.len() - index) as f64;
            if *demand > equal {
                return Some(equal);
            }
            left -= demand;
        }
        None
    }

    fn entry(&mut self, workspace: &CompactString) -> &mut Entry {
        let index = match self.find(workspace) {
            Ok(index) => index,
            Err(_) => {
                self.forget_least();
                let index = self.find(workspace).unwrap_or_else(|index| index);
                let entry = Entry {
                    workspace: workspace.clone(),
                    demand_ms: 0.0,
                    served_ms: 0.0,
                    excess: 0.0,
                };
                self.entries.insert(index, entry);
                index
            }
        };
        &mut self.entries[index]
    }

    /// Makes room for a workspace.
    fn forget_least(&mut self) {
        if self.entries.len() < Self::MAX_WORKSPACES {
            return;
        }
        let demands = self.entries.iter().enumerate();
        let least = demands.min_by(|a, b| a.1.demand_ms.total_cmp(&b.1.demand_ms));
        if let Some(index) = least.map(|(index, _)| index) {
            self.entries.remove(index);
        }
    }

    fn find(&self, workspace: &CompactString) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.workspace.cmp(workspace))
    }
}

fn work_ms(expected: time::Duration) -> f64 {
    (expected.as_secs_f64() * 1_000.0).max(Shares::RUNTIME_MIN_MS)
}
