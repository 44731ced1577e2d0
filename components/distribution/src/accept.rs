//! Accepts changes and writes them to the log.

use std::rc;
use std::time;

use config::{Applied, Change, Findings, Refusal, Snapshot};
use futures_channel::oneshot;
use futures_util::FutureExt;
use platform::Store;
use prost::Message;
use schema::config as wire;

use crate::commit::{self, Commit};
use crate::core::Core;
use crate::request::Accepted;
use crate::{Verdict, broadcast, sync};

/// Change waiting for its verdict.
pub(crate) struct Pending {
    pub(crate) change: Change,
    pub(crate) dry_run: bool,
    pub(crate) answer: oneshot::Sender<Verdict>,
}

impl Pending {
    fn reply(self, verdict: Verdict) {
        // The client may have disconnected; it can query the result by operation id.
        let _ = self.answer.send(verdict);
    }
}

/// Result of applying a batch of changes to the current snapshot.
struct BatchResult {
    /// Snapshot after the entry.
    next: Snapshot,
    /// Changes in the entry.
    changes: Vec<Change>,
    /// Verdicts by position in the batch; `None` for changes in the entry.
    verdicts: Vec<Option<Verdict>>,
}

/// Accepts incoming changes, combining queued ones into one entry.
pub(crate) async fn run<S: Store, L: peer::Link>(
    core: rc::Rc<Core<S, L>>,
    mut inbox: kernel::Inbox<Pending>,
    stop: kernel::Stop,
) {
    while let Some(Some(first)) = stop.guard(inbox.receive()).await {
        let mut batch = vec![first];
        while batch.len() < core.state.settings.batch {
            let Some(Some(next)) = inbox.receive().now_or_never() else {
                break;
            };
            batch.push(next);
        }
        process_batch(&core, batch).await;
    }
    for pending in inbox.close() {
        pending.reply(Verdict::Unavailable);
    }
}

async fn process_batch<S: Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
    mut batch: Vec<Pending>,
) {
    let deadline = time::Instant::now() + core.state.settings.accept_limit.0;
    // Version confirmed by the platform as its newest.
    let mut confirmed = None;
    if !core.state.is_ready() && !confirm(core, &mut confirmed).await {
        reply_all(batch, &Verdict::Unavailable);
        return;
    }
    while !batch.is_empty() {
        let held = core.state.newest();
        let result = apply_batch(&held, &batch);
        if result.needs_confirmation() && confirmed != Some(held.version()) {
            if !confirm(core, &mut confirmed).await {
                batch = reply_unconfirmed(batch, result.verdicts);
            }
            continue;
        }
        batch = reply_decided(batch, &result.verdicts);
        if batch.is_empty() {
            return;
        }
        if time::Instant::now() >= deadline {
            reply_all(batch, &Verdict::Unavailable);
            return;
        }
        let Some(rest) = write_entry(core, batch, result, deadline).await else {
            return;
        };
        batch = rest;
    }
}

/// Reads entries newer than the current version; returns `false` if the platform does not respond.
async fn confirm<S: Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
    confirmed: &mut Option<units::Version>,
) -> bool {
    let read = sync::read_next(core).await;
    if let Err(error) = &read {
        log::debug!(error:% = error; "failed to read the newest version from the platform");
    }
    *confirmed = read.is_ok().then(|| core.state.version());
    read.is_ok()
}

impl BatchResult {
    /// Whether any verdict is only valid for the newest snapshot.
    fn needs_confirmation(&self) -> bool {
        let is_refusal = |verdict: &Option<Verdict>| {
            matches!(verdict, Some(Verdict::Refused(_) | Verdict::Conflict(_)))
        };
        self.verdicts.iter().any(is_refusal)
    }
}

/// Applies to `held` all changes that can be accepted in one entry.
fn apply_batch(held: &Snapshot, batch: &[Pending]) -> BatchResult {
    let mut result = BatchResult {
        next: held.clone(),
        changes: Vec::new(),
        verdicts: Vec::with_capacity(batch.len()),
    };
    for pending in batch {
        let verdict = if pending.dry_run {
            Some(validate(held, &pending.change))
        } else {
            result.add(held, &pending.change)
        };
        result.verdicts.push(verdict);
    }
    result
}

impl BatchResult {
    /// Adds a change to the entry, or returns the verdict of a change left out of it.
    fn add(&mut self, held: &Snapshot, change: &Change) -> Option<Verdict> {
        let applied = if self.changes.is_empty() {
            held.apply(change)
        } else {
            self.next.apply_along(change)
        };
        match applied {
            Ok(Applied::Accepted(next)) => {
                self.next = next;
                self.changes.push(change.clone());
                None
            }
            // Repeated within this batch: the repetition shares the outcome of the entry.
            Ok(Applied::Repeated(version)) if version > held.version() => None,
            Ok(Applied::Repeated(version)) => Some(Verdict::Accepted(Accepted { version })),
            Err(refusal) => Some(refusal_verdict(refusal)),
        }
    }
}

fn validate(held: &Snapshot, change: &Change) -> Verdict {
    match held.apply(change) {
        Ok(Applied::Accepted(_)) => Verdict::Valid,
        Ok(Applied::Repeated(version)) => Verdict::Accepted(Accepted { version }),
        Err(refusal) => refusal_verdict(refusal),
    }
}

fn refusal_verdict(refusal: Refusal) -> Verdict {
    match refusal {
        Refusal::Invalid(findings) => Verdict::Refused(findings),
        Refusal::Conflict(findings) => Verdict::Conflict(findings),
    }
}

/// Answers the decided changes of a batch whose snapshot may be outdated, and returns the others.
///
/// Refusals other than those of dry runs are reported as unavailable.
fn reply_unconfirmed(batch: Vec<Pending>, verdicts: Vec<Option<Verdict>>) -> Vec<Pending> {
    let mut rest = Vec::new();
    for (pending, verdict) in batch.into_iter().zip(verdicts) {
        match verdict {
            // Findings of a dry run are not binding.
            Some(verdict) if pending.dry_run => pending.reply(verdict),
            Some(Verdict::Refused(_) | Verdict::Conflict(_)) => pending.reply(Verdict::Unavailable),
            Some(verdict) => pending.reply(verdict),
            None => rest.push(pending),
        }
    }
    rest
}

/// Answers the changes that have a verdict, and returns the others.
fn reply_decided(batch: Vec<Pending>, verdicts: &[Option<Verdict>]) -> Vec<Pending> {
    let mut rest = Vec::new();
    for (pending, verdict) in batch.into_iter().zip(verdicts) {
        match verdict {
            Some(verdict) => pending.reply(verdict.clone()),
            None => rest.push(pending),
        }
    }
    rest
}

fn reply_all(batch: Vec<Pending>, verdict: &Verdict) {
    for pending in batch {
        pending.reply(verdict.clone());
    }
}

/// Writes the entry and answers its changes; returns changes that must be validated again.
async fn write_entry<S: Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
    batch: Vec<Pending>,
    result: BatchResult,
    deadline: time::Instant,
) -> Option<Vec<Pending>> {
    let version = result.next.version();
    let entry = wire::Entry {
        version: version.0,
        changes: result.changes.iter().map(Change::encode).collect(),
        accepted_ms: units::Wall::now().0,
        digest: result.next.digest(),
    };
    let encoded = entry.encode_to_vec();
    match commit::run(core, version, &encoded, deadline).await {
        Commit::Written => {
            core.state.advance(result.next, &entry, encoded);
            broadcast::start(core);
            reply_accepted(core, batch, version);
            None
        }
        Commit::Conflict => {
            core.state.count(|counts| counts.conflicts += 1);
            // If the platform is failing, the next write attempt returns the error.
            let _ = sync::read_next(core).await;
            Some(batch)
        }
        Commit::NotRun => {
            reply_all(batch, &Verdict::Unavailable);
            None
        }
        Commit::Unknown => {
            reply_all(batch, &Verdict::Unknown);
            None
        }
        Commit::Invalid(problem) => {
            let mut findings = Findings::default();
            findings.add("", problem, "a change that the platform accepts");
            reply_all(batch, &Verdict::Refused(findings));
            None
        }
    }
}

fn reply_accepted<S: Store, L: peer::Link>(
    core: &Core<S, L>,
    batch: Vec<Pending>,
    version: units::Version,
) {
    core.state.count(|counts| counts.written += 1);
    for pending in batch {
        core.state
            .record_accepted(&pending.change.operation, version);
        pending.reply(Verdict::Accepted(Accepted { version }));
    }
}

/// Answers a query for the result of an operation.
pub(crate) async fn query_operation<S: Store, L: peer::Link>(
    core: rc::Rc<Core<S, L>>,
    operation: units::Operation,
    answer: oneshot::Sender<Verdict>,
) {
    let confirmed = sync::read_next(&core).await.is_ok();
    let settled = core.state.newest().settled(&operation);
    let verdict = match settled {
        Some(version) => Verdict::Accepted(Accepted { version }),
        None if confirmed => Verdict::Missing,
        None => Verdict::Unavailable,
    };
    let _ = answer.send(verdict);
}
