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
/// After a lost answer the same write is sent again: it cannot take effect twice, and once it
/// conflicts the object is read back. Reading alone could not tell, for a write that is still on
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
        match core.store.create(&key, encoded.to_vec()).await {
            Ok(revision) => return verify(core, version, revision, deadline).await,
            Err(Error::Conflict) if !sent => return Commit::Moved,
            Err(Error::Conflict) => match read_back(core, &key, encoded).await {
                Some(Ok(revision)) => return verify(core, version, revision, deadline).await,
                Some(Err(())) => return Commit::Moved,
                None => {}
            },
            Err(Error::Invalid(problem)) if !sent => return Commit::Invalid(problem),
            Err(error) => sent |= !error.is_not_run(),
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

/// Reads the object back: its revision where it is ours, an error where it is not, `None` without
/// an answer.
async fn read_back<S: Store, L: peer::Link>(
    core: &Core<S, L>,
    key: &Key,
    encoded: &[u8],
) -> Option<Result<Revision, ()>> {
    let object = core.store.read(key).await.ok()??;
    core.state.count(|counts| counts.settled += 1);
    if object.value == encoded {
        Some(Ok(object.revision))
    } else {
        Some(Err(()))
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
