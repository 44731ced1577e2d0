//! Views of moves for operators.

use std::time;

use compact_str::ToCompactString;
use schema::operator as wire;

use crate::run::Run;
use crate::shared::Shared;
use crate::trial::Trial;
use crate::{Entry, Id, Record, State};

/// View of the move as this node knows it, with evidence if this node runs the move.
pub(crate) fn of<S, L>(shared: &Shared<S, L>, id: &Id) -> Option<wire::Move>
where
    S: platform::Store,
    L: peer::Link,
{
    let record = shared.record(id)?;
    let alarm = shared.alarm(id);
    let mut view = from_record(&record, shared.new_version_share(&record));
    if let Some(reason) = alarm.filter(|_| record.state == State::Running) {
        view.set_state(wire::r#move::State::Withheld);
        view.reason = reason.to_string();
    }
    let runs = shared.runs.borrow();
    let run = runs.binary_search_by(|run| run.id.cmp(id));
    if let Ok(position) = run
        && !record.is_ended()
    {
        add_run(&mut view, &runs[position]);
    }
    Some(view)
}

/// Views of all moves without their evidence, running ones first.
pub(crate) fn list<S, L>(shared: &Shared<S, L>) -> Vec<wire::Move>
where
    S: platform::Store,
    L: peer::Link,
{
    let catalogue = shared.catalogue.borrow();
    let ids = |ended: bool| {
        let entries = catalogue.entries().iter();
        let matching = entries.filter(move |entry| entry.record.is_ended() == ended);
        matching.map(|entry: &Entry| entry.record.id.clone())
    };
    let ordered = ids(false).chain(ids(true));
    let views = ordered.filter_map(|id| {
        let mut view = of(shared, &id)?;
        view.evidence.clear();
        Some(view)
    });
    views.collect()
}

fn from_record(record: &Record, share: units::Share) -> wire::Move {
    let (state, share) = match record.state {
        State::Running => (wire::r#move::State::Running, share),
        State::TakingBack => (wire::r#move::State::Withheld, share),
        State::Done => (wire::r#move::State::Done, units::Share::WHOLE),
        State::TakenBack => (wire::r#move::State::TakenBack, units::Share::NONE),
    };
    wire::Move {
        id: record.id.to_string(),
        service: record.service().to_owned(),
        from: record.from.to_string(),
        to: record.to.to_string(),
        deadline_ms: record.deadline.0,
        state: state.into(),
        share: share.parts(),
        reason: record.reason.to_string(),
        started_ms: record.started.0,
        ended_ms: record.ended.unwrap_or_default().0,
        runner: record
            .runner
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        ..wire::Move::default()
    }
}

fn add_run(view: &mut wire::Move, run: &Run) {
    let now = time::Instant::now();
    if let Some((phase, at)) = run.policy.next()
        && view.state() == wire::r#move::State::Running
    {
        view.next_share = run.policy.share(phase).parts();
        let left = at.saturating_duration_since(now);
        view.next_step_ms = units::Wall::now().after(left).0;
    }
    if view.reason.is_empty() {
        view.reason = run.hold_reason.to_string();
    }
    let bound = run.policy.judge().bound();
    let trials = run.policy.judge().trials();
    view.evidence = trials.map(|trial| evidence(trial, bound)).collect();
}

fn evidence(trial: &Trial, bound: f64) -> wire::RouteEvidence {
    let pair = trial.step();
    wire::RouteEvidence {
        route: trial.route().to_owned(),
        old_requests: pair.old.requests,
        old_failures: pair.old.failures,
        old_latency_ms: pair.old.mean_ms(),
        new_requests: pair.new.requests,
        new_failures: pair.new.failures,
        new_latency_ms: pair.new.mean_ms(),
        verdict: trial.verdict(bound).to_compact_string().into(),
    }
}
