//! Collects the request counts of all nodes for the runners.
//!
//! For each shard of moves a node sends its counts to one member of its data centre, which adds them
//! up and sends the sums to the runners. A runner thus receives one report per period from each data
//! centre instead of one from each node.

use std::rc;
use std::time;

use schema::moves as wire;

use crate::shared::Shared;
use crate::{Evidence, Id, Judge, Record, Shard, policy};

/// Evidence that a node collects for its data centre.
#[derive(Debug, Default)]
pub(crate) struct Gatherer {
    /// Evidence that is yet to be forwarded; sorted by id.
    collected: Vec<(Id, Evidence)>,
    /// Judges that use only the evidence of this data centre; sorted by id.
    ///
    /// A bad version is thus withheld even if the runner is unreachable.
    judges: Vec<LocalJudge>,
}

/// Judge that uses only the evidence of this data centre.
#[derive(Debug)]
struct LocalJudge {
    id: Id,
    judge: Judge,
    share: units::Share,
}

impl Gatherer {
    /// Adds evidence of a node of this data centre.
    pub(crate) fn collect(&mut self, id: Id, evidence: &Evidence) {
        let position = self.collected.binary_search_by(|one| one.0.cmp(&id));
        match position {
            Ok(index) => self.collected[index].1.merge(evidence),
            Err(index) => self.collected.insert(index, (id, evidence.clone())),
        }
    }

    fn take_collected(&mut self) -> Vec<(Id, Evidence)> {
        std::mem::take(&mut self.collected)
    }

    /// Drops the judges of moves that are no longer running.
    fn retain(&mut self, is_running: impl Fn(&Id) -> bool) {
        self.judges.retain(|local| is_running(&local.id));
    }
}

/// Largest interval between reports, in periods, when many moves are running.
const MAX_STRETCH: u32 = 4;
/// Running moves for each additional period of the interval.
const MOVES_PER_STRETCH: usize = 100;

/// Reports periodically until `stop`.
pub(crate) async fn run<S, L>(shared: rc::Rc<Shared<S, L>>, stop: kernel::Stop)
where
    S: platform::Store,
    L: peer::Link,
{
    loop {
        let running = shared.catalogue.borrow().running().count();
        let stretch = u32::try_from(running / MOVES_PER_STRETCH).unwrap_or(MAX_STRETCH);
        let period = shared.parts.settings.report.0 * (1 + stretch).min(MAX_STRETCH);
        if !stop.sleep(period).await {
            return;
        }
        send_reports(&shared);
        forward_collected(&shared);
    }
}

/// Sends the counts of this node to the collecting members of its data centre.
fn send_reports<S, L>(shared: &rc::Rc<Shared<S, L>>)
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
            Some(address) => send_evidence(shared, address, false, evidence),
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

/// Sends evidence without waiting. Evidence without an answer is not sent again, since it may have
/// arrived and would be counted twice.
fn send_evidence<S, L>(
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

/// Judges the evidence that this node has collected, and forwards it to the runners.
fn forward_collected<S, L>(shared: &rc::Rc<Shared<S, L>>)
where
    S: platform::Store,
    L: peer::Link,
{
    let now = time::Instant::now();
    let taken = shared.gatherer.borrow_mut().take_collected();
    let mut outgoing: Vec<(units::Node, Vec<wire::Evidence>)> = Vec::new();
    for (id, evidence) in taken {
        let Some(record) = shared.record(&id).filter(|record| !record.is_ended()) else {
            continue;
        };
        judge_locally(shared, &record, &evidence, now);
        match &record.runner {
            Some(runner) if *runner == shared.parts.node => {
                let data_centre = shared.parts.data_centre.clone();
                judge_as_runner(shared, data_centre.as_str(), &id, &evidence, now);
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
            send_evidence(shared, address, true, evidence);
        }
    }
    let catalogue = shared.catalogue.borrow();
    let is_running = |id: &Id| catalogue.get(id).is_some_and(|one| !one.record.is_ended());
    shared.gatherer.borrow_mut().retain(is_running);
}

/// Handles a report from another node.
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
            judge_as_runner(
                shared,
                &report.data_centre,
                &id,
                &Evidence::decode(one),
                now,
            );
        }
    }
}

/// Judges evidence of one data centre as the runner, and withholds a version found to be bad.
fn judge_as_runner<S, L>(
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
        let Ok(index) = runs.binary_search_by(|run| run.id.cmp(id)) else {
            return;
        };
        let judge = runs[index].policy.judge_mut();
        judge.absorb(data_centre, evidence, now);
        judge.alarm().cloned()
    };
    if let Some(reason) = alarm {
        shared.raise_alarm(id, &reason);
    }
}

/// Judges by the evidence of this data centre alone, and withholds a version found to be bad.
fn judge_locally<S, L>(
    shared: &rc::Rc<Shared<S, L>>,
    record: &Record,
    evidence: &Evidence,
    now: time::Instant,
) where
    S: platform::Store,
    L: peer::Link,
{
    let share = shared.new_version_share(record);
    let centres = f64::from(shared.index().data_centres());
    let alarm = {
        let mut gatherer = shared.gatherer.borrow_mut();
        let position = gatherer
            .judges
            .binary_search_by(|one| one.id.cmp(&record.id));
        let index = position.unwrap_or_else(|index| {
            let settings = &shared.parts.settings;
            let horizon = policy::horizon(settings, record.deadline.since(units::Wall::now()));
            // The other half of the false alarm rate belongs to the runner.
            let alpha = settings.alpha() / 2.0 / centres;
            let judge = Judge::new(settings, alpha, horizon, now);
            let id = record.id.clone();
            let share = units::Share::NONE;
            gatherer
                .judges
                .insert(index, LocalJudge { id, judge, share });
            index
        });
        let local = &mut gatherer.judges[index];
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
        shared.raise_alarm(&record.id, &reason);
    }
}
