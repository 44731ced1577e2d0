//! Follows the objects of moves in the platform, for the data centre.

use std::rc;
use std::time;

use platform::{Error, Event, Object, Revision};

use crate::shared::Shared;
use crate::writer::RETRY_PAUSE;
use crate::{Id, Merged, Record, rank};

/// Longest wait of one watch.
const WAIT: time::Duration = time::Duration::from_secs(25);
/// Pause between two watches, so that many changes cost one call.
const PAUSE: time::Duration = time::Duration::from_secs(2);
/// Time between two looks whether this node should watch.
const IDLE: time::Duration = time::Duration::from_secs(1);
/// Time between two looks for ended moves to remove.
const PRUNE_INTERVAL: time::Duration = time::Duration::from_secs(60);
/// Ended moves that are removed at a time.
const PRUNED: usize = 100;

/// Watches the platform while this node ranks first in its data centre for it, until `stop`.
///
/// Runners tell other nodes what they write; the watch brings what was missed, and everything after
/// all nodes have restarted.
pub(crate) async fn run<S, L>(shared: rc::Rc<Shared<S, L>>, stop: kernel::Stop)
where
    S: platform::Store,
    L: peer::Link,
{
    let mut from = None;
    let mut pruned = time::Instant::now();
    loop {
        if !is_first(&shared, true) {
            from = None;
            if !stop.sleep(IDLE).await {
                return;
            }
            continue;
        }
        let followed = stop.guard(follow(&shared, from)).await;
        let Some(followed) = followed else {
            return;
        };
        let pause = match followed {
            Ok(revision) => {
                from = Some(revision);
                PAUSE
            }
            Err(Error::Gone) => {
                from = None;
                RETRY_PAUSE
            }
            Err(Error::Throttled(wait)) => wait.max(RETRY_PAUSE),
            Err(_) => IDLE,
        };
        if pruned.elapsed() >= PRUNE_INTERVAL && is_first(&shared, false) {
            pruned = time::Instant::now();
            prune(&shared).await;
        }
        if !stop.sleep(pause).await {
            return;
        }
    }
}

/// Whether this node ranks first, in its data centre or in the whole mesh.
fn is_first<S, L>(shared: &Shared<S, L>, near: bool) -> bool
where
    S: platform::Store,
    L: peer::Link,
{
    let view = shared.parts.members.get();
    let members = view
        .running()
        .filter(|member| !near || member.data_centre == shared.parts.data_centre);
    let first = rank::first(members, "moves-watch");
    first.is_none_or(|first| first.node == shared.parts.node)
}

/// Lists all moves, or waits for what follows `from`; returns where to go on.
async fn follow<S, L>(
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
            take_in(shared, object);
        }
        return Ok(listing.revision);
    };
    shared.tally.watches.add(1);
    let events = shared.parts.store.watch(Id::PREFIX, from, WAIT).await?;
    for event in &events.events {
        match event {
            Event::Put(object) => take_in(shared, object),
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

fn take_in<S, L>(shared: &rc::Rc<Shared<S, L>>, object: &Object)
where
    S: platform::Store,
    L: peer::Link,
{
    match Record::from_bytes(&object.value) {
        Some(record) if record.is_ended() => {
            shared.take_in(object.revision, record);
        }
        Some(record) => {
            let _: Merged = shared.learn(object.revision, record);
        }
        None => log::warn!(key:% = object.key; "an object of a move is malformed"),
    }
}

/// Removes moves that have ended long ago, but the last of each service.
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
        old.take(PRUNED).map(|pair| pair[0].clone()).collect()
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
