//! Watches the platform's log.

use std::rc;
use std::time;

use platform::{Backoff, Error, Event, Events, Object, Revision, Store};

use crate::core::Core;
use crate::state::Outcome;
use crate::{archive, broadcast, sync};

/// Interval between checks whether this node has become a watcher.
const RANK_INTERVAL: time::Duration = time::Duration::from_millis(500);
const BACKOFF_BASE: time::Duration = time::Duration::from_millis(100);
const BACKOFF_MAX: time::Duration = time::Duration::from_secs(5);

/// Watches the log while this node ranks among the watchers.
pub(crate) async fn run<S: Store, L: peer::Link>(core: rc::Rc<Core<S, L>>, stop: kernel::Stop) {
    let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_MAX);
    while stop.sleep(RANK_INTERVAL).await {
        if !core.is_watcher() {
            continue;
        }
        core.state.watching.set(true);
        let result = stop.guard(watch_log(&core, &mut backoff)).await;
        core.state.watching.set(false);
        let Some(Err(error)) = result else {
            continue;
        };
        log::debug!(error:% = error; "watch of the log failed");
        let wait = wait_after(&error, &mut backoff);
        stop.sleep(wait).await;
    }
}

fn wait_after(error: &Error, backoff: &mut Backoff) -> time::Duration {
    let wait = backoff.next_wait(&mut rand::rng());
    match error {
        Error::Throttled(retry_after) => wait + *retry_after,
        _ => wait,
    }
}

/// Watches until this node is no longer a watcher or a call fails.
async fn watch_log<S: Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
    backoff: &mut Backoff,
) -> Result<(), Error> {
    let mut from = sync::read_all(core).await?;
    core.state.set_ready();
    while core.is_watcher() {
        let wait = core.state.settings.watch_wait.0;
        let events = core.store.watch(archive::LOG, from, wait).await?;
        backoff.reset();
        from = apply_events(core, events, from).await?;
    }
    Ok(())
}

/// Applies the events of a watch; returns the revision to continue from.
async fn apply_events<S: Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
    events: Events,
    from: Revision,
) -> Result<Revision, Error> {
    if events.events.is_empty() {
        return Ok(events.revision.max(from));
    }
    let before = core.state.version();
    let complete = events.events.iter().all(|event| match event {
        Event::Put(object) => apply_entry(core, object),
        Event::Removed(..) => true,
    });
    if core.state.version() > before {
        broadcast::start(core);
    }
    if !complete {
        return sync::read_all(core).await;
    }
    compio::time::sleep(core.state.settings.watch_pause.0).await;
    Ok(events.revision)
}

/// Applies one entry; returns `false` if earlier entries are missing.
fn apply_entry<S: Store, L: peer::Link>(core: &Core<S, L>, object: &Object) -> bool {
    let version = archive::entry_version(&object.key);
    if version.is_none_or(|version| version <= core.state.version()) {
        return true;
    }
    core.state.apply(&object.value) != Outcome::Gap
}
