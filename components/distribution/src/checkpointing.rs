//! Writes checkpoints to the platform and removes old entries.

use std::rc;
use std::time;

use platform::{Error, Store};

use crate::core::Core;
use crate::{archive, checkpoint, overlay, state, sync};

/// Interval between checks whether a checkpoint is due.
const INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Number of missing checkpoints at which watchers write one in place of the first-ranked node.
const OVERDUE: u64 = 2;

/// Writes a checkpoint whenever one is due and this node is responsible for it.
pub(crate) async fn run<S: Store, L: peer::Link>(core: rc::Rc<Core<S, L>>, stop: kernel::Stop) {
    while stop.sleep(state::jitter(INTERVAL)).await {
        if !is_due(&core) {
            continue;
        }
        if let Some(Err(error)) = stop.guard(write_if_due(&core)).await {
            log::warn!(error:% = error; "failed to write a checkpoint");
        }
    }
}

fn is_due<S: Store, L: peer::Link>(core: &Core<S, L>) -> bool {
    let every = core.state.settings.checkpoint_every;
    let missing = core
        .state
        .version()
        .0
        .saturating_sub(core.newest_checkpoint.get().0);
    if missing < every || !core.state.is_ready() {
        return false;
    }
    let overdue = missing >= every.saturating_mul(OVERDUE);
    overlay::is_checkpoint_writer(&core.view(), &core.state.node) || (overdue && core.is_watcher())
}

async fn write_if_due<S: Store, L: peer::Link>(core: &Core<S, L>) -> Result<(), Error> {
    let before = sync::read_pointer(core).await?;
    let snapshot = core.state.newest();
    let missing = snapshot.version().0.saturating_sub(before.version().0);
    if missing < core.state.settings.checkpoint_every {
        return Ok(());
    }
    let bytes = checkpoint::encode(&snapshot);
    let part_bytes = core.state.settings.part_size.as_len();
    let version = snapshot.version();
    archive::write_checkpoint(&core.store, &before, version, &bytes, part_bytes).await?;
    core.newest_checkpoint.set(version);
    core.state.count(|counts| counts.archived += 1);
    log::info!(version = version.0, bytes = bytes.len(); "checkpoint written");
    let removed = archive::prune(&core.store, &before).await?;
    log::debug!(removed = removed; "old log entries removed");
    Ok(())
}
