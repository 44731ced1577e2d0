//! Watch on the move objects of the platform, on behalf of the data centre.

use std::rc;
use std::time;

use platform::{Error, Event, Object, Revision};

use crate::shared::Shared;
use crate::writer::RETRY_BACKOFF;
use crate::{Id, Merged, Record, rank};

/// Maximum duration of one watch.
const WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(25);
/// Pause between watches, so that many changes arrive in one call.
const WATCH_PAUSE: time::Duration = time::Duration::from_secs(2);
/// Interval between checks whether this node should watch.
const IDLE_PAUSE: time::Duration = time::Duration::from_secs(1);
/// Interval between searches for ended moves to remove.
const PRUNE_INTERVAL: time::Duration = time::Duration::from_secs(60);
/// Maximum number of ended moves removed at a time.
const PRUNE_BATCH: usize = 100;

/// Watches the platform while this node ranks first for that in its data centre, until `stop`.
///
/// Runners spread their writes to other nodes; the watch supplies changes that were missed, and all
/// moves after a restart of all nodes.
pub(crate) async fn run<S, L>(shared: rc::Rc<Shared<S, L>>, stop: kernel::Stop)
where
    S: platform::Store,
    L: peer::Link,
{
    let mut from = None;
    let mut pruned = time::Instant::now();
    loop {
        if !ranks_first(&shared, true) {
            from = None;
            if !stop.sleep(IDLE_PAUSE).await {
                return;
            }
            continue;
        }
        let watched = stop.guard(list_or_watch(&shared, from)).await;
        let Some(watched) = watched else {
            return;
        };
        let pause = match watched {
            Ok(revision) => {
                from = Some(revision);
                WATCH_PAUSE
            }
            Err(Error::Gone) => {
                from = None;
                RETRY_BACKOFF
            }
            Err(Error::Throttled(wait)) => wait.max(RETRY_BACKOFF),
            Err(_) => IDLE_PAUSE,
        };
        if pruned.elapsed() >= PRUNE_INTERVAL && ranks_first(&shared, false) {
            pruned = time::Instant::now();
            prune(&shared).await;
        }
        if !stop.sleep(pause).await {
            return;
        }
    }
}

/// Whether this node ranks first for the watch, in its data centre or in the whole mesh.
fn ranks_first<S, L>(shared: &Shared<S, L>, same_data_centre: bool) -> bool
where
    S: platform::Store,
    L: peer::Link,
{
    let view = shared.parts.members.get();
    let members = view
        .running()
        .filter(|member| !same_data_centre || member.data_centre == shared.parts.data_centre);
    let first = rank::first(members, "moves-watch");
    first.is_none_or(|first| first.node == shared.parts.node)
}

/// Lists all moves, or watches for changes after `from`; returns the revision to continue from.
async fn list_or_watch<S, L>(
    shared: &rc::Rc<Shared<S, L>>,
    from: Option<Revision>,
) -> Result<Revision, Error>
where
    S: platform::Store,
    L: peer::Link,
{
    let Some(from) = from else {
        shared.tally.calls.add(1);
        let listing = shared.parts.store.list(Id::PREFIX).await?;
        for object in &listing.objects {
            merge_object(shared, object);
        }
        return Ok(listing.revision);
    };
    shared.tally.watches.add(1);
    let events = shared
        .parts
        .store
        .watch(Id::PREFIX, from, WATCH_TIMEOUT)
        .await?;
    for event in &events.events {
        match event {
            Event::Put(object) => merge_object(shared, object),
            Event::Removed(key, revision) => {
                let id = key.as_str().strip_prefix(Id::PREFIX);
                if let Some(id) = id.and_then(|id| id.parse().ok()) {
                    shared.catalogue.borrow_mut().remove(&id, *revision);
                }
            }
        }
    }
    Ok(events.revision)
}

fn merge_object<S, L>(shared: &rc::Rc<Shared<S, L>>, object: &Object)
where
    S: platform::Store,
    L: peer::Link,
{
    match Record::from_bytes(&object.value) {
        Some(record) if record.is_ended() => {
            shared.merge(object.revision, record);
        }
        Some(record) => {
            let _: Merged = shared.merge_and_spread(object.revision, record);
        }
        None => log::warn!(key:% = object.key; "ignoring a malformed move object"),
    }
}

/// Removes moves that ended before the retention time, except the last move of each service.
async fn prune<S, L>(shared: &Shared<S, L>)
where
    S: platform::Store,
    L: peer::Link,
{
    let now = units::Wall::now();
    let retention = shared.parts.settings.retention.0;
    let old: Vec<_> = {
        let catalogue = shared.catalogue.borrow();
        let pairs = catalogue.entries().windows(2);
        let old = pairs.filter(|pair| {
            let (one, next) = (&pair[0].record, &pair[1].record);
            let is_past = one.ended.is_some_and(|ended| now.since(ended) > retention);
            one.is_ended() && is_past && one.service() == next.service()
        });
        old.take(PRUNE_BATCH).map(|pair| pair[0].clone()).collect()
    };
    for entry in old {
        let Ok(key) = entry.record.id.key() else {
            continue;
        };
        shared.tally.calls.add(1);
        if shared
            .parts
            .store
            .remove(&key, entry.revision)
            .await
            .is_ok()
        {
            let revision = Revision(entry.revision.0 + 1);
            shared
                .catalogue
                .borrow_mut()
                .remove(&entry.record.id, revision);
        }
    }
}
