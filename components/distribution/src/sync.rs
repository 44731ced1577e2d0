//! Reads the platform's log and checkpoints to bring a node up to date.

use std::rc;

use platform::{Error, Object, Revision, Store};

use crate::archive::{self, Pointer};
use crate::broadcast;
use crate::core::Core;
use crate::fetch;
use crate::state::Outcome;

/// Maximum number of entries read one by one; if there are more, the whole log is listed.
const MAX_READS: usize = 16;

/// Reads the whole log, and the newest checkpoint if it is ahead of this node.
///
/// Returns the revision of the log, from which a watch can start.
pub(crate) async fn read_all<S: Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
) -> Result<Revision, Error> {
    let listing = core.store.list(archive::LOG).await?;
    // Read after the log, so that an entry created again after its removal is recognised.
    let pointer = read_pointer(core).await?;
    adopt_checkpoint(core, &pointer).await?;
    let before = core.state.version();
    apply_objects(core, &listing.objects);
    if core.state.version() > before {
        broadcast::start(core);
    }
    Ok(listing.revision)
}

/// Reads the following entries one by one; returns whether the version of this node increased.
pub(crate) async fn read_next<S: Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
) -> Result<bool, Error> {
    let before = core.state.version();
    let mut objects = Vec::new();
    let mut version = before.next();
    let mut at_end = false;
    while objects.len() < MAX_READS && !at_end {
        let object = core.store.read(&archive::entry_key(version)?).await?;
        at_end = object.is_none();
        objects.extend(object);
        version = version.next();
    }
    let pointer = read_pointer(core).await?;
    if !at_end || pointer.version() > before {
        read_all(core).await?;
    } else {
        apply_objects(core, &objects);
    }
    let advanced = core.state.version() > before;
    if advanced {
        broadcast::start(core);
    }
    Ok(advanced)
}

pub(crate) async fn read_pointer<S: Store, L: peer::Link>(
    core: &Core<S, L>,
) -> Result<Pointer, Error> {
    let pointer = archive::read_pointer(&core.store).await?;
    core.newest_checkpoint
        .set(core.newest_checkpoint.get().max(pointer.version()));
    Ok(pointer)
}

async fn adopt_checkpoint<S: Store, L: peer::Link>(
    core: &Core<S, L>,
    pointer: &Pointer,
) -> Result<(), Error> {
    if pointer.version() <= core.state.version() {
        return Ok(());
    }
    let bytes = archive::read_checkpoint(&core.store, pointer).await?;
    fetch::apply_checkpoint(core, pointer.version(), &bytes);
    Ok(())
}

/// Applies entries read from the platform, in order.
pub(crate) fn apply_objects<S: Store, L: peer::Link>(core: &Core<S, L>, objects: &[Object]) {
    for object in objects {
        let due = core.state.version().next();
        if archive::entry_version(&object.key).is_some_and(|version| version < due) {
            continue;
        }
        match core.state.apply(&object.value) {
            Outcome::Advanced | Outcome::Duplicate => {}
            Outcome::Gap | Outcome::Refused => return,
        }
    }
}
