//! What a node holds and knows, whatever it talks through.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use config::{Change, Snapshot};
use prost::Message;
use schema::config as config_wire;
use schema::distribution as wire;
use serde::Serialize;

use crate::known::{Announced, Known};
use crate::tail::Tail;
use crate::{Counts, Holder, Settings, Violations};

units::record! {
    /// A version that a node has refused, and why.
    #[derive(Serialize)]
    pub struct Refused {
        /// The version.
        pub version: units::Version,
        /// What is wrong with it.
        pub reason: String,
    }

    /// When a version came in force here.
    #[derive(Copy, Serialize)]
    pub struct InForce {
        /// The version.
        pub version: units::Version,
        /// When its entry was accepted, by the clock of the accepting node; zero for a checkpoint.
        pub accepted: units::Wall,
        /// When it came in force here.
        pub in_force: units::Wall,
    }
}

/// What became of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It is in force now.
    Advanced,
    /// It was held already.
    Duplicate,
    /// Entries before it are missing.
    Gap,
    /// It does not check.
    Refused,
}

pub(crate) struct State {
    pub(crate) node: units::Node,
    pub(crate) data_centre: units::DataCentre,
    pub(crate) settings: Settings,
    pub(crate) holder: Holder,
    /// The newest snapshot of a starting node, which comes in force once the node is ready.
    staged: cell::RefCell<Option<rc::Rc<Snapshot>>>,
    pub(crate) tail: cell::RefCell<Tail>,
    pub(crate) known: cell::RefCell<Known>,
    pub(crate) counts: cell::Cell<Counts>,
    pub(crate) violations: cell::Cell<Violations>,
    pub(crate) refused: cell::RefCell<Option<Refused>>,
    pub(crate) watching: cell::Cell<bool>,
    pub(crate) history: cell::RefCell<collections::VecDeque<InForce>>,
    /// Operations that this node has reported as accepted, oldest first.
    reported: cell::RefCell<collections::VecDeque<(units::Operation, units::Version)>>,
    ready: cell::Cell<bool>,
    /// Highest version that other nodes remember of this one.
    floor: cell::Cell<units::Version>,
    /// Digest of the snapshot in force.
    digest: cell::Cell<u64>,
    /// Start of this process.
    started: units::Wall,
}

impl State {
    /// Versions in force whose times are kept.
    const HISTORY: usize = 1_024;
    /// Accepted operations that are checked to stay.
    const REPORTED: usize = 1_000;

    pub(crate) fn new(
        node: units::Node,
        data_centre: units::DataCentre,
        holder: Holder,
        settings: Settings,
    ) -> Self {
        let tail = Tail::new(settings.tail_entries, settings.tail_size.as_len());
        let digest = holder.get().digest();
        Self {
            node,
            data_centre,
            settings,
            holder,
            staged: cell::RefCell::default(),
            tail: cell::RefCell::new(tail),
            known: cell::RefCell::default(),
            counts: cell::Cell::default(),
            violations: cell::Cell::default(),
            refused: cell::RefCell::default(),
            watching: cell::Cell::default(),
            history: cell::RefCell::default(),
            reported: cell::RefCell::default(),
            ready: cell::Cell::default(),
            floor: cell::Cell::default(),
            digest: cell::Cell::new(digest),
            started: units::Wall::now(),
        }
    }

    /// The newest snapshot that this node has built, in force or not yet.
    pub(crate) fn newest(&self) -> rc::Rc<Snapshot> {
        let staged = self.staged.borrow().clone();
        staged.unwrap_or_else(|| self.holder.get())
    }

    /// Version of the newest snapshot.
    pub(crate) fn version(&self) -> units::Version {
        self.newest().version()
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest.get()
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Notes the version that another node remembers of this one.
    pub(crate) fn raise_floor(&self, remembered: units::Version) {
        self.floor.set(self.floor.get().max(remembered));
    }

    /// Says that this node holds what others hold, unless it once held more than that.
    pub(crate) fn set_ready(&self) {
        if self.version() < self.floor.get() {
            log::debug!(version = self.version().0, floor = self.floor.get().0; "this node held a later version before");
            return;
        }
        if self.ready.replace(true) {
            return;
        }
        if let Some(staged) = self.staged.take() {
            self.put_in_force(staged.as_ref().clone(), units::Wall::default());
        }
        log::info!(version = self.version().0; "configuration is ready");
    }

    pub(crate) fn standing(&self) -> wire::Standing {
        wire::Standing {
            version: self.version().0,
            ready: self.ready.get(),
            started_ms: self.started.0,
        }
    }

    pub(crate) fn count(&self, add: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        add(&mut counts);
        self.counts.set(counts);
    }

    pub(crate) fn violate(&self, add: impl FnOnce(&mut Violations)) {
        let mut violations = self.violations.get();
        add(&mut violations);
        self.violations.set(violations);
    }

    /// Invariants found violated, those of the holder included.
    pub(crate) fn violations(&self) -> Violations {
        let mut violations = self.violations.get();
        violations.dangling_route += self.holder.violations();
        violations
    }

    /// What `node` has announced.
    pub(crate) fn announced(&self, node: &units::Node) -> Option<Announced> {
        self.known.borrow().get(node)
    }

    /// Remembers what `node` announces.
    pub(crate) fn note(&self, node: &units::Node, standing: Option<wire::Standing>) {
        let Some(standing) = standing else {
            return;
        };
        let holds = self.known.borrow_mut().note(node, standing);
        if !holds {
            self.violate(|violations| violations.version_fell += 1);
            log::error!(node:% = node, version = standing.version; "invariant violated: a ready node announced a lower version than before");
        }
    }

    /// Compares the digest of a node at the same version.
    pub(crate) fn compare(&self, node: &units::Node, standing: wire::Standing, digest: u64) {
        let same = standing.version == self.version().0;
        if same && digest != self.digest.get() {
            self.violate(|violations| violations.diverged += 1);
            log::error!(node:% = node, version = standing.version; "invariant violated: other content at the same version");
        }
    }

    /// Puts an encoded entry in force, or says why not.
    pub(crate) fn apply(&self, encoded: &[u8]) -> Outcome {
        let held = self.newest();
        let Ok(entry) = config_wire::Entry::decode(encoded) else {
            self.refuse(held.version().next(), "the entry does not decode".into());
            return Outcome::Refused;
        };
        let version = units::Version(entry.version);
        if version <= held.version() {
            self.count(|counts| counts.duplicates += 1);
            return Outcome::Duplicate;
        }
        if version != held.version().next() {
            return Outcome::Gap;
        }
        match build(&held, &entry) {
            Ok(next) => self.advance(next, &entry, encoded.to_vec()),
            Err(reason) => {
                self.refuse(version, reason);
                Outcome::Refused
            }
        }
    }

    /// Puts a snapshot in force that was built from `entry` and whose digest was compared.
    pub(crate) fn advance(
        &self,
        snapshot: Snapshot,
        entry: &config_wire::Entry,
        encoded: Vec<u8>,
    ) -> Outcome {
        let version = snapshot.version();
        if !self.swap(snapshot, entry.digest, units::Wall(entry.accepted_ms)) {
            return Outcome::Duplicate;
        }
        self.tail.borrow_mut().push(version, encoded);
        self.count(|counts| counts.entries += 1);
        Outcome::Advanced
    }

    /// Puts a checkpoint in force; its content was checked by decoding it.
    pub(crate) fn adopt(&self, snapshot: Snapshot) -> bool {
        let version = snapshot.version();
        let digest = snapshot.digest();
        let swapped = self.swap(snapshot, digest, units::Wall::default());
        if swapped {
            self.tail.borrow_mut().restart(version);
            self.count(|counts| counts.checkpoints += 1);
        }
        swapped
    }

    /// Takes a snapshot that is newer than the one held; a ready node puts it in force.
    fn swap(&self, snapshot: Snapshot, digest: u64, accepted: units::Wall) -> bool {
        let version = snapshot.version();
        if version <= self.version() {
            return false;
        }
        if !self.is_ready() {
            // A node that restarts must not show a version below one that it held before.
            *self.staged.borrow_mut() = Some(rc::Rc::new(snapshot));
        } else if !self.put_in_force(snapshot, accepted) {
            return false;
        }
        self.digest.set(digest);
        let mut refused = self.refused.borrow_mut();
        if refused.as_ref().is_some_and(|one| one.version <= version) {
            *refused = None;
        }
        true
    }

    fn put_in_force(&self, snapshot: Snapshot, accepted: units::Wall) -> bool {
        let version = snapshot.version();
        if !self.holder.advance(snapshot) {
            return false;
        }
        let held = self.holder.get();
        if held.version() != version {
            self.violate(|violations| violations.partial += 1);
            log::error!(version = version.0; "invariant violated: another version is in force");
        }
        self.check_reported(&held);
        self.record(version, accepted);
        log::info!(version = version.0; "configuration in force");
        true
    }

    fn record(&self, version: units::Version, accepted: units::Wall) {
        let mut history = self.history.borrow_mut();
        if history.len() >= Self::HISTORY {
            history.pop_front();
        }
        history.push_back(InForce {
            version,
            accepted,
            in_force: units::Wall::now(),
        });
    }

    /// Remembers an operation that is reported as accepted.
    pub(crate) fn report(&self, operation: &units::Operation, version: units::Version) {
        self.count(|counts| counts.accepted += 1);
        let mut reported = self.reported.borrow_mut();
        if reported.len() >= Self::REPORTED {
            reported.pop_front();
        }
        reported.push_back((operation.clone(), version));
    }

    /// Checks that the newest operations reported as accepted are in a snapshot.
    fn check_reported(&self, snapshot: &Snapshot) {
        const CHECKED: usize = 8;
        // Versions for which a snapshot remembers all operations, whatever the batches.
        let span = (config::Limits::SETTLED / self.settings.batch) as u64;
        let reported = self.reported.borrow();
        let newest = reported.iter().rev().take(CHECKED);
        for (operation, version) in newest {
            let due = *version <= snapshot.version();
            let recent = snapshot.version().0.saturating_sub(version.0) < span;
            if due && recent && snapshot.settled(operation) != Some(*version) {
                self.violate(|violations| violations.accepted_missing += 1);
                log::error!(operation:% = operation, version = version.0; "invariant violated: an accepted change is missing");
            }
        }
    }

    pub(crate) fn refuse(&self, version: units::Version, reason: String) {
        self.count(|counts| counts.refused += 1);
        log::error!(version = version.0, reason = reason.as_str(); "configuration refused");
        *self.refused.borrow_mut() = Some(Refused { version, reason });
    }
}

/// Builds the snapshot that `entry` makes of `held`, and compares its digest.
pub(crate) fn build(held: &Snapshot, entry: &config_wire::Entry) -> Result<Snapshot, String> {
    let mut changes = Vec::with_capacity(entry.changes.len());
    for change in &entry.changes {
        let change = Change::decode(change).map_err(|findings| findings.to_string())?;
        changes.push(change);
    }
    let next = held
        .apply_all(&changes)
        .map_err(|refusal| refusal.to_string())?;
    if next.digest() != entry.digest {
        return Err("its digest does not fit the content".into());
    }
    Ok(next)
}

/// Time that `wait` is drawn to: evenly from half of it to one and a half.
pub(crate) fn jitter(wait: time::Duration) -> time::Duration {
    use rand::Rng;
    wait.mul_f64(rand::rng().random_range(0.5..1.5))
}
