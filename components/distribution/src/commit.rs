//! Writes one entry of the log, and settles lost answers.

use std::rc;
use std::time;

use compact_str::CompactString;
use platform::{Backoff, Error, Key, Revision, Store};

use crate::core::Core;
use crate::{archive, sync};

const BACKOFF_BASE: time::Duration = time::Duration::from_millis(20);
const BACKOFF_MOST: time::Duration = time::Duration::from_millis(500);

/// How a write of an entry ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Commit {
    /// It is the entry of its version.
    Written,
    /// Another entry has the version; this one is not in the log.
    Moved,
    /// It is not in the log: nothing was sent, or the platform has refused it unexecuted.
    NotRun,
    /// It may be in the log.
    Unknown,
    /// The platform refuses it for good.
    Invalid(CompactString),
}

/// Creates the entry of `version`, again and again until its end is certain or `deadline` is over.
///
/// After a lost answer the object is read back, and where there is none the same write is sent
/// again: it cannot take effect twice. Reading alone could not tell, for a write that is still on
/// its way may take effect later.
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
    let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_MOST);
    let mut sent = false;
    loop {
        let end = if sent {
            settle(core, &key, encoded).await
        } else {
            create(core, &key, encoded).await
        };
        match end {
            Attempt::Ours(revision) => return verify(core, version, revision, deadline).await,
            Attempt::Theirs => return Commit::Moved,
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

/// How one attempt to write ended.
enum Attempt {
    /// The object is ours.
    Ours(Revision),
    /// The object is another node's.
    Theirs,
    /// Nothing was written.
    NotRun,
    /// It may have been written.
    Unknown,
    /// The platform refuses it for good.
    Invalid(CompactString),
}

async fn create<S: Store, L: peer::Link>(core: &Core<S, L>, key: &Key, encoded: &[u8]) -> Attempt {
    match core.store.create(key, encoded.to_vec()).await {
        Ok(revision) => Attempt::Ours(revision),
        Err(Error::Conflict) => Attempt::Theirs,
        Err(Error::Invalid(problem)) => Attempt::Invalid(problem),
        Err(error) if error.is_not_run() => Attempt::NotRun,
        Err(_) => Attempt::Unknown,
    }
}

/// Settles a write that may have taken effect.
async fn settle<S: Store, L: peer::Link>(core: &Core<S, L>, key: &Key, encoded: &[u8]) -> Attempt {
    match core.store.read(key).await {
        Ok(Some(object)) => {
            core.state.count(|counts| counts.settled += 1);
            if object.value == encoded {
                Attempt::Ours(object.revision)
            } else {
                Attempt::Theirs
            }
        }
        Ok(None) => match create(core, key, encoded).await {
            Attempt::Ours(revision) => Attempt::Ours(revision),
            // The object stands there now; the next attempt reads whose it is.
            _ => Attempt::Unknown,
        },
        Err(_) => Attempt::Unknown,
    }
}

/// Makes sure that a created entry did not take the place of a removed one.
async fn verify<S: Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
    version: units::Version,
    revision: Revision,
    deadline: time::Instant,
) -> Commit {
    let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_MOST);
    loop {
        match sync::read_pointer(core).await {
            Ok(pointer) if pointer.version() < version => return Commit::Written,
            Ok(_) => return withdraw(core, version, revision).await,
            Err(_) => {}
        }
        let wait = backoff.next_wait(&mut rand::rng());
        if time::Instant::now() + wait >= deadline {
            return Commit::Unknown;
        }
        compio::time::sleep(wait).await;
    }
}

/// Removes an entry of a version that a checkpoint covers; the next attempt sees whether the
/// checkpoint holds its changes.
async fn withdraw<S: Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
    version: units::Version,
    revision: Revision,
) -> Commit {
    log::warn!(version = version.0; "entry written in place of a removed one");
    let Ok(key) = archive::entry_key(version) else {
        return Commit::Unknown;
    };
    if sync::full(core).await.is_err() {
        return Commit::Unknown;
    }
    match core.store.remove(&key, revision).await {
        Ok(()) | Err(Error::Conflict) => Commit::Moved,
        Err(_) => Commit::Unknown,
    }
}
