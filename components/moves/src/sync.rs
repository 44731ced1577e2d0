//! Keeps what the request path reads in line with the moves.

use std::rc;
use std::time;

use compact_str::CompactString;

use crate::recorder::Recorded;
use crate::shared::Shared;
use crate::{Id, Record, State, shares};

/// Time between two looks.
const INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Looks between two removals of old moves.
const EXPIRE_EVERY: u64 = 600;

/// Keeps the recorder, the concentration of small shares and the list of runs up to date until
/// `stop`.
pub(crate) async fn run<S, L>(shared: rc::Rc<Shared<S, L>>, stop: kernel::Stop)
where
    S: platform::Store,
    L: peer::Link,
{
    let mut looks = 0_u64;
    while stop.sleep(INTERVAL).await {
        looks += 1;
        sync(&shared);
        if looks.is_multiple_of(EXPIRE_EVERY) {
            let retention = shared.parts.settings.retention.0;
            let millis = units::millis(retention);
            let limit = units::Wall(units::Wall::now().0.saturating_sub(millis));
            shared.catalogue.borrow_mut().expire(limit);
        }
    }
}

fn sync<S, L>(shared: &Shared<S, L>)
where
    S: platform::Store,
    L: peer::Link,
{
    let running: Vec<rc::Rc<Record>> = {
        let catalogue = shared.catalogue.borrow();
        catalogue
            .running()
            .map(|entry| entry.record.clone())
            .collect()
    };
    let recorded = running.iter().map(|record| Recorded {
        service: record.service().into(),
        from: record.from.clone(),
        to: record.to.clone(),
        id: record.id.clone(),
    });
    shared.recorder.record(recorded.collect());
    concentrate(shared, &running);
    let node = &shared.parts.node;
    let is_ours = |id: &Id| {
        let place = running.binary_search_by(|record| record.id.cmp(id));
        place.is_ok_and(|place| {
            let runner = running[place].runner.as_ref();
            runner.is_none_or(|runner| runner == node)
        })
    };
    shared.runs.borrow_mut().retain(|run| is_ours(&run.id));
}

/// Concentrates each small share on as many backend servers as have about their final load then.
fn concentrate<S, L>(shared: &Shared<S, L>, running: &[rc::Rc<Record>])
where
    S: platform::Store,
    L: peer::Link,
{
    let focus = &shared.parts.focus;
    if running.is_empty() && focus.list().is_empty() {
        return;
    }
    let mut wanted: Vec<(CompactString, CompactString, usize)> = Vec::new();
    for record in running {
        let share = shared.share(record);
        let is_small = share > units::Share::NONE && share < units::Share::WHOLE;
        if record.state == State::Running && is_small {
            let backends = shared.index().ready(record.service(), &record.to).backends;
            let count = shares::focus(share, backends);
            wanted.push((record.service().into(), record.to.clone(), count));
        }
    }
    for held in focus.list() {
        let is_wanted = wanted.iter().any(|one| one.0 == held.0 && one.1 == held.1);
        if !is_wanted {
            focus.clear(&held.0, &held.1);
        }
    }
    for (service, version, count) in wanted {
        focus.set(&service, &version, count);
    }
}
