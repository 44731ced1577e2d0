//! Log and checkpoints in the platform's object store.
//!
//! Entries are stored as objects `log/<version>`, created only if absent, which makes their order
//! total. Old entries are removed once two newer checkpoints exist. A node paused for a long time could
//! create a removed entry again. Readers and writers of an entry therefore read the pointer to the
//! newest checkpoint afterwards: an entry is valid only while the pointer is below its version.

use platform::{Error, Key, Object, Revision, Store};
use prost::Message;
use schema::distribution as wire;

/// Key prefix of the entries.
pub(crate) const LOG: &str = "log/";
/// Key of the pointer to the newest checkpoint.
const POINTER: &str = "checkpoint/newest";

/// Pointer to the newest checkpoint, as read from the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Pointer {
    pub(crate) content: wire::Pointer,
    /// Revision of the object; `None` if the object does not exist yet.
    pub(crate) revision: Option<Revision>,
}

impl Pointer {
    pub(crate) fn version(&self) -> units::Version {
        units::Version(self.content.version)
    }
}

pub(crate) fn entry_key(version: units::Version) -> Result<Key, Error> {
    parse(&format!("{LOG}{:020}", version.0))
}

fn part_key(version: u64, part: u32) -> Result<Key, Error> {
    parse(&format!("checkpoint/{version:020}/{part:04}"))
}

fn parse(text: &str) -> Result<Key, Error> {
    text.parse()
        .map_err(|error: units::Error| Error::Invalid(compact_str::format_compact!("{error}")))
}

/// Version of the entry at `key`.
pub(crate) fn entry_version(key: &Key) -> Option<units::Version> {
    key.as_str().strip_prefix(LOG)?.parse().ok()
}

/// Reads the pointer to the newest checkpoint.
pub(crate) async fn read_pointer<S: Store>(store: &S) -> Result<Pointer, Error> {
    let Some(object) = store.read(&parse(POINTER)?).await? else {
        return Ok(Pointer::default());
    };
    let content = wire::Pointer::decode(object.value.as_slice());
    let content =
        content.map_err(|_| Error::Invalid("the checkpoint pointer cannot be decoded".into()))?;
    Ok(Pointer {
        content,
        revision: Some(object.revision),
    })
}

/// Reads the compressed checkpoint referenced by `pointer`.
pub(crate) async fn read_checkpoint<S: Store>(
    store: &S,
    pointer: &Pointer,
) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    for part in 0..pointer.content.parts {
        let key = part_key(pointer.content.version, part)?;
        // A part is missing if newer checkpoints have replaced this one since the pointer was read.
        let object = store.read(&key).await?.ok_or(Error::Gone)?;
        bytes.extend(object.value);
    }
    Ok(bytes)
}

/// Writes the parts of a checkpoint, then the pointer to it.
///
/// # Errors
/// [`Error::Conflict`] if another node has written first.
pub(crate) async fn write_checkpoint<S: Store>(
    store: &S,
    before: &Pointer,
    version: units::Version,
    bytes: &[u8],
    part_bytes: usize,
) -> Result<(), Error> {
    let mut parts = 0;
    for content in bytes.chunks(part_bytes) {
        write_part(store, part_key(version.0, parts)?, content).await?;
        parts += 1;
    }
    let content = wire::Pointer {
        version: version.0,
        parts,
        previous: before.content.version,
        previous_parts: before.content.parts,
    };
    let key = parse(POINTER)?;
    let value = content.encode_to_vec();
    match before.revision {
        Some(revision) => store.update(&key, revision, value).await?,
        None => store.create(&key, value).await?,
    };
    Ok(())
}

/// Writes one part; an identical part may already exist after a lost response or from another node.
async fn write_part<S: Store>(store: &S, key: Key, content: &[u8]) -> Result<(), Error> {
    match store.create(&key, content.to_vec()).await {
        Err(Error::Conflict) => {
            let held = store.read(&key).await?;
            match held {
                Some(object) if object.value == content => Ok(()),
                _ => Err(Error::Conflict),
            }
        }
        written => written.map(|_| ()),
    }
}

/// Removes the entries covered by the checkpoint at `before`, and the parts of the one preceding it.
///
/// `before` is the pointer that was just replaced.
pub(crate) async fn prune<S: Store>(store: &S, before: &Pointer) -> Result<usize, Error> {
    let oldest_kept = before.content.version;
    let mut removed = 0;
    for object in store.list(LOG).await?.objects {
        if entry_version(&object.key).is_some_and(|version| version.0 <= oldest_kept) {
            remove(store, &object).await?;
            removed += 1;
        }
    }
    for part in 0..before.content.previous_parts {
        let key = part_key(before.content.previous, part)?;
        if let Some(object) = store.read(&key).await? {
            remove(store, &object).await?;
            removed += 1;
        }
    }
    Ok(removed)
}

/// Removes an object; a conflict with a concurrent change by another node is ignored.
pub(crate) async fn remove<S: Store>(store: &S, object: &Object) -> Result<(), Error> {
    match store.remove(&object.key, object.revision).await {
        Err(Error::Conflict) => Ok(()),
        removed => removed,
    }
}
