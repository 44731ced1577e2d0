//! Accepts changes into the log.

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
use crate::{Verdict, spread, sync};

/// A change that waits for its verdict.
pub(crate) struct Pending {
    pub(crate) change: Change,
    pub(crate) dry_run: bool,
    pub(crate) answer: oneshot::Sender<Verdict>,
}

impl Pending {
    fn end(self, verdict: Verdict) {
        // The asking client may be gone; it can ask by its operation id.
        let _ = self.answer.send(verdict);
    }
}

/// What a batch makes of the snapshot held.
struct Fold {
    /// The snapshot after the entry.
    next: Snapshot,
    /// Changes of the entry.
    changes: Vec<Change>,
    /// A verdict for each change that is not part of the entry.
    verdicts: Vec<Option<Verdict>>,
}

/// Accepts the changes that arrive, as many as wait in one entry.
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
        process(&core, batch).await;
    }
    for pending in inbox.close() {
        pending.end(Verdict::Unavailable);
    }
}

async fn process<S: Store, L: peer::Link>(core: &rc::Rc<Core<S, L>>, mut batch: Vec<Pending>) {
    let deadline = time::Instant::now() + core.state.settings.accept_limit.0;
    // Version that the platform has confirmed as its newest.
    let mut confirmed = None;
    if !core.state.is_ready() && !confirm(core, &mut confirmed).await {
        end_all(batch, &Verdict::Unavailable);
        return;
    }
    while !batch.is_empty() {
        let held = core.state.newest();
        let fold = fold(&held, &batch);
        if fold.needs_confirmation() && confirmed != Some(held.version()) {
            if !confirm(core, &mut confirmed).await {
                batch = end_unconfirmed(batch, fold.verdicts);
            }
            continue;
        }
        batch = end_settled(batch, &fold.verdicts);
        if batch.is_empty() {
            return;
        }
        if time::Instant::now() >= deadline {
            end_all(batch, &Verdict::Unavailable);
            return;
        }
        let Some(rest) = write(core, batch, fold, deadline).await else {
            return;
        };
        batch = rest;
    }
}

/// Reads what the platform has beyond the held version; `false` where it does not answer.
async fn confirm<S: Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
    confirmed: &mut Option<units::Version>,
) -> bool {
    let read = sync::next(core).await;
    if let Err(error) = &read {
        log::debug!(error:% = error; "the newest version cannot be read");
    }
    *confirmed = read.is_ok().then(|| core.state.version());
    read.is_ok()
}

impl Fold {
    /// Whether a verdict depends on the snapshot being the newest.
    fn needs_confirmation(&self) -> bool {
        let refused = |verdict: &Option<Verdict>| {
            matches!(verdict, Some(Verdict::Refused(_) | Verdict::Conflict(_)))
        };
        self.verdicts.iter().any(refused)
    }
}

/// Applies all changes that can be accepted together to `held`.
fn fold(held: &Snapshot, batch: &[Pending]) -> Fold {
    let mut fold = Fold {
        next: held.clone(),
        changes: Vec::new(),
        verdicts: Vec::with_capacity(batch.len()),
    };
    for pending in batch {
        let verdict = if pending.dry_run {
            Some(rehearse(held, &pending.change))
        } else {
            fold.add(held, &pending.change)
        };
        fold.verdicts.push(verdict);
    }
    fold
}

impl Fold {
    /// Adds a change to the entry, or says why it is not part of it.
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
            // Repeated within this batch: it shares the end of the entry.
            Ok(Applied::Repeated(version)) if version > held.version() => None,
            Ok(Applied::Repeated(version)) => Some(Verdict::Accepted(Accepted { version })),
            Err(refusal) => Some(refused(refusal)),
        }
    }
}

fn rehearse(held: &Snapshot, change: &Change) -> Verdict {
    match held.apply(change) {
        Ok(Applied::Accepted(_)) => Verdict::Valid,
        Ok(Applied::Repeated(version)) => Verdict::Accepted(Accepted { version }),
        Err(refusal) => refused(refusal),
    }
}

fn refused(refusal: Refusal) -> Verdict {
    match refusal {
        Refusal::Invalid(findings) => Verdict::Refused(findings),
        Refusal::Conflict(findings) => Verdict::Conflict(findings),
    }
}

/// Ends the refused changes of a batch whose snapshot may be outdated, and returns the others.
fn end_unconfirmed(batch: Vec<Pending>, verdicts: Vec<Option<Verdict>>) -> Vec<Pending> {
    let mut rest = Vec::new();
    for (pending, verdict) in batch.into_iter().zip(verdicts) {
        match verdict {
            // The findings of a dry run promise nothing.
            Some(verdict) if pending.dry_run => pending.end(verdict),
            Some(Verdict::Refused(_) | Verdict::Conflict(_)) => pending.end(Verdict::Unavailable),
            Some(verdict) => pending.end(verdict),
            None => rest.push(pending),
        }
    }
    rest
}

/// Ends the changes that have a verdict, and returns the others.
fn end_settled(batch: Vec<Pending>, verdicts: &[Option<Verdict>]) -> Vec<Pending> {
    let mut rest = Vec::new();
    for (pending, verdict) in batch.into_iter().zip(verdicts) {
        match verdict {
            Some(verdict) => pending.end(verdict.clone()),
            None => rest.push(pending),
        }
    }
    rest
}

fn end_all(batch: Vec<Pending>, verdict: &Verdict) {
    for pending in batch {
        pending.end(verdict.clone());
    }
}

/// Writes the entry and ends its changes; returns those that have to be validated again.
async fn write<S: Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
    batch: Vec<Pending>,
    fold: Fold,
    deadline: time::Instant,
) -> Option<Vec<Pending>> {
    let version = fold.next.version();
    let entry = wire::Entry {
        version: version.0,
        changes: fold.changes.iter().map(Change::encode).collect(),
        accepted_ms: units::Wall::now().0,
        digest: fold.next.digest(),
    };
    let encoded = entry.encode_to_vec();
    match commit::run(core, version, &encoded, deadline).await {
        Commit::Written => {
            core.state.advance(fold.next, &entry, encoded);
            spread::start(core);
            end_written(core, batch, version);
            None
        }
        Commit::Moved => {
            core.state.count(|counts| counts.conflicts += 1);
            // Where the platform fails now, the next attempt to write finds out.
            let _ = sync::next(core).await;
            Some(batch)
        }
        Commit::NotRun => {
            end_all(batch, &Verdict::Unavailable);
            None
        }
        Commit::Unknown => {
            end_all(batch, &Verdict::Unknown);
            None
        }
        Commit::Invalid(problem) => {
            let mut findings = Findings::default();
            findings.add("", problem, "a change that the platform takes");
            end_all(batch, &Verdict::Refused(findings));
            None
        }
    }
}

fn end_written<S: Store, L: peer::Link>(
    core: &Core<S, L>,
    batch: Vec<Pending>,
    version: units::Version,
) {
    core.state.count(|counts| counts.written += 1);
    for pending in batch {
        core.state.report(&pending.change.operation, version);
        pending.end(Verdict::Accepted(Accepted { version }));
    }
}

/// Says how an operation ended.
pub(crate) async fn settle<S: Store, L: peer::Link>(
    core: rc::Rc<Core<S, L>>,
    operation: units::Operation,
    answer: oneshot::Sender<Verdict>,
) {
    let confirmed = sync::next(&core).await.is_ok();
    let settled = core.state.newest().settled(&operation);
    let verdict = match settled {
        Some(version) => Verdict::Accepted(Accepted { version }),
        None if confirmed => Verdict::Missing,
        None => Verdict::Unavailable,
    };
    let _ = answer.send(verdict);
}
