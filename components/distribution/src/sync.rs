//! Brings a node up to the platform's log.

use std::rc;

use platform::{Error, Object, Revision, Store};

use crate::archive::{self, Pointer};
use crate::core::Core;
use crate::fetch;
use crate::spread;
use crate::state::Outcome;

/// Entries that are read one by one before the whole log is listed.
const MOST_READS: usize = 16;

/// Reads the whole log, and the newest checkpoint where that is ahead of this node.
///
/// The returned revision is that of the log, for a watch.
pub(crate) async fn full<S: Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
) -> Result<Revision, Error> {
    let listing = core.store.list(archive::LOG).await?;
    // Read after the log, so that an entry that was removed and created again is told apart.
    let pointer = read_pointer(core).await?;
    adopt_checkpoint(core, &pointer).await?;
    let before = core.state.version();
    apply_objects(core, &listing.objects);
    if core.state.version() > before {
        spread::start(core);
    }
    Ok(listing.revision)
}

/// Reads the entries that follow, one by one; says whether something came in force.
pub(crate) async fn next<S: Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
) -> Result<bool, Error> {
    let before = core.state.version();
    let mut objects = Vec::new();
    let mut version = before.next();
    let mut ended = false;
    while objects.len() < MOST_READS && !ended {
        let object = core.store.read(&archive::entry_key(version)?).await?;
        ended = object.is_none();
        objects.extend(object);
        version = version.next();
    }
    let pointer = read_pointer(core).await?;
    if !ended || pointer.version() > before {
        full(core).await?;
    } else {
        apply_objects(core, &objects);
    }
    let advanced = core.state.version() > before;
    if advanced {
        spread::start(core);
    }
    Ok(advanced)
}

pub(crate) async fn read_pointer<S: Store, L: peer::Link>(
    core: &Core<S, L>,
) -> Result<Pointer, Error> {
    let pointer = archive::read_pointer(&core.store).await?;
    core.archived
        .set(core.archived.get().max(pointer.version()));
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
    fetch::adopt(core, pointer.version(), &bytes);
    Ok(())
}

/// Applies entries that were read from the platform, in their order.
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
