//! Brings what requests showed from every node to the runners.
//!
//! Each node sends its counts to one member of its data centre for each shard of moves, which adds
//! them up and sends them on to the runner. So a runner hears once a period from each data centre
//! instead of from each node.

use std::rc;
use std::time;

use schema::moves as wire;

use crate::shared::Shared;
use crate::{Evidence, Id, Judge, Record, Shard, policy};

/// What a node collects for its data centre.
#[derive(Debug, Default)]
pub(crate) struct Gatherer {
    /// Evidence that is to be sent on; sorted by id.
    collected: Vec<(Id, Evidence)>,
    /// Judges of this data centre's evidence alone; sorted by id.
    ///
    /// They withhold a bad version when the runner cannot be reached.
    local: Vec<Local>,
}

/// Judge of one data centre's evidence.
#[derive(Debug)]
struct Local {
    id: Id,
    judge: Judge,
    share: units::Share,
}

impl Gatherer {
    /// Adds evidence of a node of this data centre.
    pub(crate) fn collect(&mut self, id: Id, evidence: &Evidence) {
        let found = self.collected.binary_search_by(|one| one.0.cmp(&id));
        match found {
            Ok(place) => self.collected[place].1.merge(evidence),
            Err(place) => self.collected.insert(place, (id, evidence.clone())),
        }
    }

    fn take(&mut self) -> Vec<(Id, Evidence)> {
        std::mem::take(&mut self.collected)
    }

    /// Drops the judges of moves that do not run any more.
    fn retain(&mut self, is_running: impl Fn(&Id) -> bool) {
        self.local.retain(|local| is_running(&local.id));
    }
}

/// Most periods into which a report is stretched when many moves run.
const STRETCH: u32 = 4;
/// Running moves for each further period.
const MOVES_A_STRETCH: usize = 100;

/// Reports every period until `stop`.
pub(crate) async fn run<S, L>(shared: rc::Rc<Shared<S, L>>, stop: kernel::Stop)
where
    S: platform::Store,
    L: peer::Link,
{
    loop {
        let running = shared.catalogue.borrow().running().count();
        let stretch = u32::try_from(running / MOVES_A_STRETCH).unwrap_or(STRETCH);
        let period = shared.parts.settings.report.0 * (1 + stretch).min(STRETCH);
        if !stop.sleep(period).await {
            return;
        }
        report(&shared);
        forward(&shared);
    }
}

/// Sends what this node has recorded to the collecting members of its data centre.
fn report<S, L>(shared: &rc::Rc<Shared<S, L>>)
where
    S: platform::Store,
    L: peer::Link,
{
    let mut shards: Vec<Vec<wire::Evidence>> = vec![Vec::new(); usize::from(Shard::COUNT)];
    let taken = shared.recorder.take();
    for (id, evidence) in &taken {
        shards[id.shard().index()].push(evidence.encode(&id.to_string()));
    }
    for shard in Shard::all() {
        let evidence = std::mem::take(&mut shards[shard.index()]);
        if evidence.is_empty() {
            continue;
        }
        let collector = shared.index().collector(shard);
        match collector {
            Some(address) => send(shared, address, false, evidence),
            None => collect(shared, &evidence),
        }
    }
}

fn collect<S, L>(shared: &Shared<S, L>, evidence: &[wire::Evidence])
where
    S: platform::Store,
    L: peer::Link,
{
    let mut gatherer = shared.gatherer.borrow_mut();
    for one in evidence {
        if let Ok(id) = one.r#move.parse() {
            gatherer.collect(id, &Evidence::decode(one));
        }
    }
}

/// Sends evidence without waiting. What gets no answer is lost rather than sent again, since it
/// may have arrived and would count twice.
fn send<S, L>(
    shared: &rc::Rc<Shared<S, L>>,
    to: units::Address,
    collected: bool,
    evidence: Vec<wire::Evidence>,
) where
    S: platform::Store,
    L: peer::Link,
{
    let kind = wire::request::Kind::Report(wire::Report {
        data_centre: shared.parts.data_centre.to_string(),
        collected,
        evidence,
    });
    let shared = shared.clone();
    compio::runtime::spawn(async move {
        shared.call(to, kind).await;
    })
    .detach();
}

/// Judges what this node has collected and sends it on to the runners.
fn forward<S, L>(shared: &rc::Rc<Shared<S, L>>)
where
    S: platform::Store,
    L: peer::Link,
{
    let now = time::Instant::now();
    let taken = shared.gatherer.borrow_mut().take();
    let mut outgoing: Vec<(units::Node, Vec<wire::Evidence>)> = Vec::new();
    for (id, evidence) in taken {
        let Some(record) = shared.record(&id).filter(|record| !record.is_ended()) else {
            continue;
        };
        judge_locally(shared, &record, &evidence, now);
        match &record.runner {
            Some(runner) if *runner == shared.parts.node => {
                let data_centre = shared.parts.data_centre.clone();
                absorb(shared, data_centre.as_str(), &id, &evidence, now);
            }
            Some(runner) => {
                let encoded = evidence.encode(&id.to_string());
                match outgoing.iter_mut().find(|one| one.0 == *runner) {
                    Some(one) => one.1.push(encoded),
                    None => outgoing.push((runner.clone(), vec![encoded])),
                }
            }
            None => {}
        }
    }
    for (runner, evidence) in outgoing {
        if let Some(address) = shared.address(&runner) {
            send(shared, address, true, evidence);
        }
    }
    let catalogue = shared.catalogue.borrow();
    let is_running = |id: &Id| catalogue.get(id).is_some_and(|one| !one.record.is_ended());
    shared.gatherer.borrow_mut().retain(is_running);
}

/// Takes a report from another node.
pub(crate) fn receive<S, L>(shared: &rc::Rc<Shared<S, L>>, report: &wire::Report)
where
    S: platform::Store,
    L: peer::Link,
{
    if !report.collected {
        collect(shared, &report.evidence);
        return;
    }
    let now = time::Instant::now();
    for one in &report.evidence {
        if let Ok(id) = one.r#move.parse() {
            absorb(
                shared,
                &report.data_centre,
                &id,
                &Evidence::decode(one),
                now,
            );
        }
    }
}

/// Takes evidence of one data centre in as the runner, and withholds the version that it condemns.
fn absorb<S, L>(
    shared: &rc::Rc<Shared<S, L>>,
    data_centre: &str,
    id: &Id,
    evidence: &Evidence,
    now: time::Instant,
) where
    S: platform::Store,
    L: peer::Link,
{
    let alarm = {
        let mut runs = shared.runs.borrow_mut();
        let Ok(place) = runs.binary_search_by(|run| run.id.cmp(id)) else {
            return;
        };
        let judge = runs[place].policy.judge_mut();
        judge.absorb(data_centre, evidence, now);
        judge.alarm().cloned()
    };
    if let Some(reason) = alarm {
        shared.raise_own(id, &reason);
    }
}

/// Judges the evidence of this data centre alone, and withholds the version that it condemns.
fn judge_locally<S, L>(
    shared: &rc::Rc<Shared<S, L>>,
    record: &Record,
    evidence: &Evidence,
    now: time::Instant,
) where
    S: platform::Store,
    L: peer::Link,
{
    let share = shared.share(record);
    let centres = f64::from(shared.index().data_centres());
    let alarm = {
        let mut gatherer = shared.gatherer.borrow_mut();
        let found = gatherer
            .local
            .binary_search_by(|one| one.id.cmp(&record.id));
        let place = found.unwrap_or_else(|place| {
            let settings = &shared.parts.settings;
            let horizon = policy::horizon(settings, record.deadline.since(units::Wall::now()));
            // Half of the wrong alarms are the runner's.
            let alpha = settings.alpha() / 2.0 / centres;
            let judge = Judge::new(settings, alpha, horizon, now);
            let id = record.id.clone();
            let share = units::Share::NONE;
            gatherer.local.insert(place, Local { id, judge, share });
            place
        });
        let local = &mut gatherer.local[place];
        if local.share != share {
            let is_first = local.share == units::Share::NONE;
            local.judge.begin_step(is_first, share, now);
            local.share = share;
        }
        local
            .judge
            .absorb(shared.parts.data_centre.as_str(), evidence, now);
        local.judge.alarm().cloned()
    };
    if let Some(reason) = alarm {
        shared.raise_own(&record.id, &reason);
    }
}
