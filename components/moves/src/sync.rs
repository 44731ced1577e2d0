//! Periodic updates from the catalogue to the state that the request path reads.

use std::rc;
use std::time;

use compact_str::CompactString;

use crate::recorder::RecordedMove;
use crate::shared::Shared;
use crate::{Id, Record, State, shares};

/// Interval between updates.
const INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Number of intervals between removals of old moves.
const EXPIRY_TICKS: u64 = 600;

/// Updates the recorder, the concentration of small shares and the list of runs until `stop`.
pub(crate) async fn run<S, L>(shared: rc::Rc<Shared<S, L>>, stop: kernel::Stop)
where
    S: platform::Store,
    L: peer::Link,
{
    let mut ticks = 0_u64;
    while stop.sleep(INTERVAL).await {
        ticks += 1;
        sync(&shared);
        if ticks.is_multiple_of(EXPIRY_TICKS) {
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
    let recorded = running.iter().map(|record| RecordedMove {
        service: record.service().into(),
        from: record.from.clone(),
        to: record.to.clone(),
        id: record.id.clone(),
    });
    shared.recorder.record(recorded.collect());
    concentrate(shared, &running);
    let node = &shared.parts.node;
    let is_ours = |id: &Id| {
        let position = running.binary_search_by(|record| record.id.cmp(id));
        position.is_ok_and(|position| {
            let runner = running[position].runner.as_ref();
            runner.is_none_or(|runner| runner == node)
        })
    };
    shared.runs.borrow_mut().retain(|run| is_ours(&run.id));
}

/// Concentrates each small share on so few backend servers that each has about its final load.
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
        let share = shared.new_version_share(record);
        let is_small = share > units::Share::NONE && share < units::Share::WHOLE;
        if record.state == State::Running && is_small {
            let backends = shared.index().ready(record.service(), &record.to).backends;
            let count = shares::focus(share, backends);
            wanted.push((record.service().into(), record.to.clone(), count));
        }
    }
    for current in focus.list() {
        let is_wanted = wanted
            .iter()
            .any(|entry| entry.0 == current.0 && entry.1 == current.1);
        if !is_wanted {
            focus.clear(&current.0, &current.1);
        }
    }
    for (service, version, count) in wanted {
        focus.set(&service, &version, count);
    }
}
