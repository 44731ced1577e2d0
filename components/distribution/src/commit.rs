//! Writes an entry to the log, and resolves writes whose response was lost.

use std::rc;
use std::time;

use compact_str::CompactString;
use platform::{Backoff, Error, Key, Revision, Store};

use crate::core::Core;
use crate::{archive, sync};

const BACKOFF_BASE: time::Duration = time::Duration::from_millis(20);
const BACKOFF_MAX: time::Duration = time::Duration::from_millis(500);

/// Result of writing an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Commit {
    /// The entry is in the log.
    Written,
    /// Another entry has the version; this entry is not in the log.
    Conflict,
    /// The entry is not in the log: it was not sent, or the platform rejected it without executing it.
    NotRun,
    /// The entry may be in the log.
    Unknown,
    /// The platform permanently rejects the entry.
    Invalid(CompactString),
}

/// Creates the entry of `version`, retrying until the result is certain or `deadline` has passed.
///
/// After a lost response the object is read back. If there is none, the same write is sent again,
/// which cannot take effect twice. Reading alone is not enough, because a write still in transit may
/// take effect later.
pub(crate) async fn run<S: Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
    version: units::Version,
    encoded: &[u8],
    deadline: time::Instant,
) -> Commit {
    let key = match archive::entry_key(version) {
        Ok(key) => key,
        Err(error) => return Commit::Invalid(compact_str::format_compact!("{error}")),
    };
    let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_MAX);
    let mut sent = false;
    loop {
        let attempt = if sent {
            resolve(core, &key, encoded).await
        } else {
            create(core, &key, encoded).await
        };
        match attempt {
            Attempt::Created(revision) => return verify(core, version, revision, deadline).await,
            Attempt::Taken => return Commit::Conflict,
            Attempt::Invalid(problem) => return Commit::Invalid(problem),
            Attempt::NotRun => {}
            Attempt::Unknown => sent = true,
        }
        let wait = backoff.next_wait(&mut rand::rng());
        if time::Instant::now() + wait >= deadline {
            return if sent {
                Commit::Unknown
            } else {
                Commit::NotRun
            };
        }
        compio::time::sleep(wait).await;
    }
}

/// Result of one write attempt.
enum Attempt {
    /// The object was written by this call.
    Created(Revision),
    /// The object was written by another node.
    Taken,
    /// Nothing was written.
    NotRun,
    /// The object may have been written.
    Unknown,
    /// The platform permanently rejects the object.
    Invalid(CompactString),
}

async fn create<S: Store, L: peer::Link>(core: &Core<S, L>, key: &Key, encoded: &[u8]) -> Attempt {
    match core.store.create(key, encoded.to_vec()).await {
        Ok(revision) => Attempt::Created(revision),
        Err(Error::Conflict) => Attempt::Taken,
        Err(Error::Invalid(problem)) => Attempt::Invalid(problem),
        Err(error) if error.is_not_run() => Attempt::NotRun,
        Err(_) => Attempt::Unknown,
    }
}

/// Determines the result of a write that may have taken effect.
async fn resolve<S: Store, L: peer::Link>(core: &Core<S, L>, key: &Key, encoded: &[u8]) -> Attempt {
    match core.store.read(key).await {
        Ok(Some(object)) => {
            core.state.count(|counts| counts.settled += 1);
            if object.value == encoded {
                Attempt::Created(object.revision)
            } else {
                Attempt::Taken
            }
        }
        Ok(None) => match create(core, key, encoded).await {
            Attempt::Created(revision) => Attempt::Created(revision),
            // The object may exist now; the next attempt reads who wrote it.
            _ => Attempt::Unknown,
        },
        Err(_) => Attempt::Unknown,
    }
}

/// Checks that a created entry did not replace a removed one.
async fn verify<S: Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
    version: units::Version,
    revision: Revision,
    deadline: time::Instant,
) -> Commit {
    let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_MAX);
    loop {
        match sync::read_pointer(core).await {
            Ok(pointer) if pointer.version() < version => return Commit::Written,
            Ok(_) => return remove_superseded(core, version, revision).await,
            Err(_) => {}
        }
        let wait = backoff.next_wait(&mut rand::rng());
        if time::Instant::now() + wait >= deadline {
            return Commit::Unknown;
        }
        compio::time::sleep(wait).await;
    }
}

/// Removes an entry whose version is covered by a checkpoint; the next attempt checks whether the
/// checkpoint contains its changes.
async fn remove_superseded<S: Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
    version: units::Version,
    revision: Revision,
) -> Commit {
    log::warn!(version = version.0; "log entry was created again after its removal");
    let Ok(key) = archive::entry_key(version) else {
        return Commit::Unknown;
    };
    if sync::read_all(core).await.is_err() {
        return Commit::Unknown;
    }
    match core.store.remove(&key, revision).await {
        Ok(()) | Err(Error::Conflict) => Commit::Conflict,
        Err(_) => Commit::Unknown,
    }
}
