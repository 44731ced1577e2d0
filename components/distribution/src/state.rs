//! State of a node, independent of the transport.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use config::{Change, Snapshot};
use prost::Message;
use schema::config as config_wire;
use schema::distribution as wire;
use serde::Serialize;

use crate::peer_versions::{PeerVersion, PeerVersions};
use crate::tail::Tail;
use crate::{Counts, Holder, Settings, Violations};

units::record! {
    /// Version refused by this node.
    #[derive(Serialize)]
    pub struct Refused {
        /// Refused version.
        pub version: units::Version,
        /// Reason for the refusal.
        pub reason: String,
    }

    /// Time at which a version came into force on this node.
    #[derive(Copy, Serialize)]
    pub struct InForce {
        /// Version in force.
        pub version: units::Version,
        /// Acceptance time of the entry, by the clock of the accepting node; zero for a checkpoint.
        pub accepted: units::Wall,
        /// Time at which the version came into force on this node.
        pub in_force: units::Wall,
    }
}

/// Result of applying an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The entry was applied.
    Advanced,
    /// The entry was already applied.
    Duplicate,
    /// Earlier entries are missing.
    Gap,
    /// The entry is invalid.
    Refused,
}

pub(crate) struct State {
    pub(crate) node: units::Node,
    pub(crate) data_centre: units::DataCentre,
    pub(crate) settings: Settings,
    pub(crate) holder: Holder,
    /// Newest snapshot of a starting node, put in force once the node is ready.
    staged: cell::RefCell<Option<rc::Rc<Snapshot>>>,
    pub(crate) tail: cell::RefCell<Tail>,
    pub(crate) peer_versions: cell::RefCell<PeerVersions>,
    pub(crate) counts: cell::Cell<Counts>,
    pub(crate) violations: cell::Cell<Violations>,
    pub(crate) refused: cell::RefCell<Option<Refused>>,
    pub(crate) watching: cell::Cell<bool>,
    pub(crate) history: cell::RefCell<collections::VecDeque<InForce>>,
    /// Operations reported as accepted by this node, oldest first.
    accepted_operations: cell::RefCell<collections::VecDeque<(units::Operation, units::Version)>>,
    ready: cell::Cell<bool>,
    /// Highest version that other nodes remember for this node.
    min_version: cell::Cell<units::Version>,
    /// Digest of the snapshot in force.
    digest: cell::Cell<u64>,
    /// Start time of this process.
    started: units::Wall,
}

impl State {
    /// Maximum number of versions whose times are kept.
    const HISTORY: usize = 1_024;
    /// Maximum number of accepted operations kept for checking.
    const ACCEPTED_OPERATIONS: usize = 1_000;

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
            peer_versions: cell::RefCell::default(),
            counts: cell::Cell::default(),
            violations: cell::Cell::default(),
            refused: cell::RefCell::default(),
            watching: cell::Cell::default(),
            history: cell::RefCell::default(),
            accepted_operations: cell::RefCell::default(),
            ready: cell::Cell::default(),
            min_version: cell::Cell::default(),
            digest: cell::Cell::new(digest),
            started: units::Wall::now(),
        }
    }

    /// Returns the newest snapshot built by this node, whether or not it is in force.
    pub(crate) fn newest(&self) -> rc::Rc<Snapshot> {
        let staged = self.staged.borrow().clone();
        staged.unwrap_or_else(|| self.holder.get())
    }

    /// Returns the version of the newest snapshot.
    pub(crate) fn version(&self) -> units::Version {
        self.newest().version()
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest.get()
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Records the version that another node remembers for this node.
    pub(crate) fn raise_min_version(&self, remembered: units::Version) {
        self.min_version.set(self.min_version.get().max(remembered));
    }

    /// Marks this node as ready, unless it held a later version before.
    pub(crate) fn set_ready(&self) {
        if self.version() < self.min_version.get() {
            log::debug!(version = self.version().0, floor = self.min_version.get().0; "not ready: this node held a later version before its restart");
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

    pub(crate) fn count_violation(&self, add: impl FnOnce(&mut Violations)) {
        let mut violations = self.violations.get();
        add(&mut violations);
        self.violations.set(violations);
    }

    /// Returns the counters of violated invariants, including those of the holder.
    pub(crate) fn violations(&self) -> Violations {
        let mut violations = self.violations.get();
        violations.dangling_route += self.holder.violations();
        violations
    }

    /// Returns the versions announced by `node`.
    pub(crate) fn peer_version(&self, node: &units::Node) -> Option<PeerVersion> {
        self.peer_versions.borrow().get(node)
    }

    /// Records the version announced by `node`.
    pub(crate) fn record_standing(&self, node: &units::Node, standing: Option<wire::Standing>) {
        let Some(standing) = standing else {
            return;
        };
        let is_monotonic = self.peer_versions.borrow_mut().record(node, standing);
        if !is_monotonic {
            self.count_violation(|violations| violations.version_fell += 1);
            log::error!(node:% = node, version = standing.version; "invariant violated: a ready node announced a lower version than before");
        }
    }

    /// Compares the digest of another node if it is at the same version.
    pub(crate) fn check_digest(&self, node: &units::Node, standing: wire::Standing, digest: u64) {
        let same = standing.version == self.version().0;
        if same && digest != self.digest.get() {
            self.count_violation(|violations| violations.diverged += 1);
            log::error!(node:% = node, version = standing.version; "invariant violated: content differs at the same version");
        }
    }

    /// Applies an encoded entry.
    pub(crate) fn apply(&self, encoded: &[u8]) -> Outcome {
        let held = self.newest();
        let Ok(entry) = config_wire::Entry::decode(encoded) else {
            self.refuse(held.version().next(), "the entry cannot be decoded".into());
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

    /// Installs a snapshot that was built from `entry` and whose digest was checked.
    pub(crate) fn advance(
        &self,
        snapshot: Snapshot,
        entry: &config_wire::Entry,
        encoded: Vec<u8>,
    ) -> Outcome {
        let version = snapshot.version();
        if !self.install(snapshot, entry.digest, units::Wall(entry.accepted_ms)) {
            return Outcome::Duplicate;
        }
        self.tail.borrow_mut().push(version, encoded);
        self.count(|counts| counts.entries += 1);
        Outcome::Advanced
    }

    /// Installs the snapshot of a checkpoint, whose content was validated when it was decoded.
    pub(crate) fn install_checkpoint(&self, snapshot: Snapshot) -> bool {
        let version = snapshot.version();
        let digest = snapshot.digest();
        let installed = self.install(snapshot, digest, units::Wall::default());
        if installed {
            self.tail.borrow_mut().reset(version);
            self.count(|counts| counts.checkpoints += 1);
        }
        installed
    }

    /// Installs a snapshot if it is newer than the current one; a ready node puts it in force.
    fn install(&self, snapshot: Snapshot, digest: u64, accepted: units::Wall) -> bool {
        let version = snapshot.version();
        if version <= self.version() {
            return false;
        }
        if !self.is_ready() {
            // A restarted node must not expose a version lower than one that it held before.
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
            self.count_violation(|violations| violations.partial += 1);
            log::error!(version = version.0; "invariant violated: another version is in force");
        }
        self.check_accepted(&held);
        self.record_in_force(version, accepted);
        log::info!(version = version.0; "configuration in force");
        true
    }

    fn record_in_force(&self, version: units::Version, accepted: units::Wall) {
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

    /// Records an operation that is reported as accepted.
    pub(crate) fn record_accepted(&self, operation: &units::Operation, version: units::Version) {
        self.count(|counts| counts.accepted += 1);
        let mut accepted_operations = self.accepted_operations.borrow_mut();
        if accepted_operations.len() >= Self::ACCEPTED_OPERATIONS {
            accepted_operations.pop_front();
        }
        accepted_operations.push_back((operation.clone(), version));
    }

    /// Checks that a snapshot contains the newest operations reported as accepted.
    fn check_accepted(&self, snapshot: &Snapshot) {
        const MAX_CHECKED: usize = 8;
        // Number of versions for which a snapshot retains all operations, even if all batches are full.
        let span = (config::Limits::SETTLED / self.settings.batch) as u64;
        let accepted_operations = self.accepted_operations.borrow();
        let newest = accepted_operations.iter().rev().take(MAX_CHECKED);
        for (operation, version) in newest {
            let due = *version <= snapshot.version();
            let recent = snapshot.version().0.saturating_sub(version.0) < span;
            if due && recent && snapshot.settled(operation) != Some(*version) {
                self.count_violation(|violations| violations.accepted_missing += 1);
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

/// Builds the snapshot that results from applying `entry` to `held`, and checks its digest.
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
        return Err("the digest of the entry does not match its content".into());
    }
    Ok(next)
}

/// Returns a random time, uniformly distributed between 0.5 and 1.5 times `wait`.
pub(crate) fn jitter(wait: time::Duration) -> time::Duration {
    use rand::Rng;
    wait.mul_f64(rand::rng().random_range(0.5..1.5))
}
