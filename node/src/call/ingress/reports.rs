//! What backend servers have said of themselves with answers that this node has passed on.

use std::time;

use crate::call::Need;

/// What backend servers have said of themselves with answers that this node has passed on.
///
/// An owner that starts anew beside such a backend server knows none of it.
#[derive(Debug, Default)]
pub(super) struct Reports {
    /// Sorted by instance.
    known: Vec<Report>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    instance: u64,
    rate: Option<units::Rate>,
    /// When it was last heard of, or seen in the mesh.
    seen: time::Instant,
}

impl Reports {
    /// Time for which a backend server that is not in the mesh is remembered.
    const KEPT: time::Duration = time::Duration::from_secs(120);

    /// An owner has told of its backend server.
    pub(super) fn hear(&mut self, need: &Need, now: time::Instant) {
        let report = Report {
            instance: need.instance,
            rate: need.rate,
            seen: now,
        };
        match self.place(need.instance) {
            Ok(place) => self.known[place] = report,
            Err(place) => self.known.insert(place, report),
        }
    }

    /// The backend server with this `instance` has answered and said nothing.
    pub(super) fn lift(&mut self, instance: u64) {
        if let Ok(place) = self.place(instance) {
            self.known[place].rate = None;
        }
    }

    /// What an owner is told of its backend server with this `instance`.
    pub(super) fn need(&self, instance: u64) -> Option<Need> {
        let report = self.known[self.place(instance).ok()?];
        report.rate?;
        Some(Need {
            instance,
            rate: report.rate,
            turn: time::Duration::ZERO,
            leaving: false,
        })
    }

    /// Forgets those that are long gone; the mesh has those with `instances`.
    pub(super) fn forget(&mut self, instances: impl Iterator<Item = u64>, now: time::Instant) {
        if self.known.is_empty() {
            return;
        }
        for instance in instances {
            if let Ok(place) = self.place(instance) {
                self.known[place].seen = now;
            }
        }
        let is_kept = |report: &Report| now.saturating_duration_since(report.seen) < Self::KEPT;
        self.known.retain(is_kept);
    }

    fn place(&self, instance: u64) -> Result<usize, usize> {
        self.known
            .binary_search_by_key(&instance, |one| one.instance)
    }
}
