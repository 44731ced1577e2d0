//! Counts the nodes on which a version is in force, over a tree of nodes.

use std::rc;
use std::time;

use futures_util::future;
use schema::distribution as wire;
use schema::operator;

use crate::core::Core;

/// Nodes that one node asks; each asks the rest of its group.
const FAN_OUT: usize = 16;
/// Nodes that are named as behind.
const MOST_BEHIND: usize = 100;
/// Time for the whole answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(8);
/// Part of its own time that a node gives to those that it asks.
const TIME_FRACTION: f64 = 0.7;
/// Longest time that a request may ask for.
const MOST_TIMEOUT_MS: u32 = 60_000;

/// Collects the status of `version` from all running nodes.
pub(crate) async fn run<S: platform::Store, L: peer::Link>(
    core: rc::Rc<Core<S, L>>,
    version: units::Version,
) -> operator::StatusReply {
    let version = if version == units::Version(0) {
        core.state.version()
    } else {
        version
    };
    let view = core.view();
    let others = view.running().filter(|one| one.node != core.state.node);
    let names: Vec<_> = others.map(|one| one.node.to_string()).collect();
    let nodes = names.len() + 1;
    let request = wire::Collect {
        version: version.0,
        nodes: names,
        timeout_ms: u32::try_from(TIMEOUT.as_millis()).unwrap_or(u32::MAX),
    };
    let collected = collect(&core, request).await;
    let behind = collected.behind.into_iter().map(|one| {
        let member = one.node.parse().ok().and_then(|node| view.member(&node));
        let data_centre = member.map(|member| member.data_centre.to_string());
        operator::NodeStatus {
            node: one.node,
            data_centre: data_centre.unwrap_or_default(),
            version: one.version,
            refused: one.refused,
        }
    });
    operator::StatusReply {
        version: version.0,
        in_force: collected.in_force,
        nodes: u32::try_from(nodes).unwrap_or(u32::MAX),
        behind: behind.collect(),
    }
}

/// Asks the named nodes in groups, and adds this node itself.
pub(crate) async fn collect<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    request: wire::Collect,
) -> wire::Collected {
    let timeout_ms = request.timeout_ms.min(MOST_TIMEOUT_MS);
    let timeout = time::Duration::from_millis(timeout_ms.into()).mul_f64(TIME_FRACTION);
    let version = units::Version(request.version);
    let group = request.nodes.len().div_ceil(FAN_OUT).max(1);
    let groups = request.nodes.chunks(group);
    let asked = groups.map(|group| ask(core, version, group, timeout));
    let mut collected = own(core, version);
    for answer in future::join_all(asked).await {
        collected.in_force += answer.in_force;
        let space = MOST_BEHIND.saturating_sub(collected.behind.len());
        collected
            .behind
            .extend(answer.behind.into_iter().take(space));
    }
    collected
}

fn own<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    version: units::Version,
) -> wire::Collected {
    let held = core.state.version();
    if held >= version && core.state.is_ready() {
        return wire::Collected {
            in_force: 1,
            behind: Vec::new(),
        };
    }
    let refused = core.state.refused.borrow();
    let refused = refused.as_ref().map(|one| one.reason.clone());
    let behind = wire::NodeVersion {
        node: core.state.node.to_string(),
        version: held.0,
        refused: refused.unwrap_or_default(),
    };
    wire::Collected {
        in_force: 0,
        behind: vec![behind],
    }
}

/// Asks the first node of a group for the whole group, the next one where that does not answer.
async fn ask<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    version: units::Version,
    group: &[String],
    timeout: time::Duration,
) -> wire::Collected {
    let deadline = time::Instant::now() + timeout;
    let mut silent = wire::Collected::default();
    let mut rest = group;
    while let Some((first, others)) = rest.split_first() {
        let left = deadline.saturating_duration_since(time::Instant::now());
        // A first node that is gone must leave time for the next one.
        let limit = if others.is_empty() { left } else { left / 2 };
        let answer = ask_first(core, version, first, others, limit).await;
        if let Some(answer) = answer {
            silent.in_force += answer.in_force;
            silent.behind.extend(answer.behind);
            break;
        }
        silent.behind.push(wire::NodeVersion {
            node: first.clone(),
            version: 0,
            refused: String::new(),
        });
        rest = others;
    }
    silent.behind.truncate(MOST_BEHIND);
    silent
}

async fn ask_first<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    version: units::Version,
    first: &str,
    others: &[String],
    limit: time::Duration,
) -> Option<wire::Collected> {
    let member = core.view().member(&first.parse().ok()?).cloned()?;
    let collect = wire::Collect {
        version: version.0,
        nodes: others.to_vec(),
        timeout_ms: u32::try_from(limit.as_millis()).ok()?,
    };
    let kind = wire::request::Kind::Collect(collect);
    let reply = core.call(&member, kind, limit).await.ok()?;
    match reply.kind {
        Some(wire::reply::Kind::Collected(collected)) => Some(collected),
        _ => None,
    }
}
