//! Counts the nodes on which a version is in force, by querying them over a tree.

use std::rc;
use std::time;

use futures_util::future;
use schema::distribution as wire;
use schema::operator;

use crate::core::Core;

/// Number of nodes queried by one node; each queries the rest of its group.
const FAN_OUT: usize = 16;
/// Maximum number of nodes listed as behind.
const MAX_BEHIND: usize = 100;
/// Timeout of the whole query.
const TIMEOUT: time::Duration = time::Duration::from_secs(8);
/// Fraction of the timeout of a node that it passes on to the nodes it queries.
const TIME_FRACTION: f64 = 0.7;
/// Maximum timeout that a request may set.
const MAX_TIMEOUT_MS: u32 = 60_000;

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

/// Queries the given nodes in groups, and adds the status of this node.
pub(crate) async fn collect<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    request: wire::Collect,
) -> wire::Collected {
    let timeout_ms = request.timeout_ms.min(MAX_TIMEOUT_MS);
    let timeout = time::Duration::from_millis(timeout_ms.into()).mul_f64(TIME_FRACTION);
    let version = units::Version(request.version);
    let group = request.nodes.len().div_ceil(FAN_OUT).max(1);
    let groups = request.nodes.chunks(group);
    let queries = groups.map(|group| query_group(core, version, group, timeout));
    let mut collected = own_status(core, version);
    for reply in future::join_all(queries).await {
        collected.in_force += reply.in_force;
        let space = MAX_BEHIND.saturating_sub(collected.behind.len());
        collected
            .behind
            .extend(reply.behind.into_iter().take(space));
    }
    collected
}

fn own_status<S: platform::Store, L: peer::Link>(
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

/// Queries the first node of a group for the whole group, and the next node if it does not reply.
async fn query_group<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    version: units::Version,
    group: &[String],
    timeout: time::Duration,
) -> wire::Collected {
    let deadline = time::Instant::now() + timeout;
    let mut collected = wire::Collected::default();
    let mut rest = group;
    while let Some((first, others)) = rest.split_first() {
        let remaining = deadline.saturating_duration_since(time::Instant::now());
        // If the first node is unreachable, enough time must be left for the next one.
        let first_timeout = if others.is_empty() {
            remaining
        } else {
            remaining / 2
        };
        let reply = query_first(core, version, first, others, first_timeout).await;
        if let Some(reply) = reply {
            collected.in_force += reply.in_force;
            collected.behind.extend(reply.behind);
            break;
        }
        collected.behind.push(wire::NodeVersion {
            node: first.clone(),
            version: 0,
            refused: String::new(),
        });
        rest = others;
    }
    collected.behind.truncate(MAX_BEHIND);
    collected
}

async fn query_first<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    version: units::Version,
    first: &str,
    others: &[String],
    timeout: time::Duration,
) -> Option<wire::Collected> {
    let member = core.view().member(&first.parse().ok()?).cloned()?;
    let collect = wire::Collect {
        version: version.0,
        nodes: others.to_vec(),
        timeout_ms: u32::try_from(timeout.as_millis()).ok()?,
    };
    let kind = wire::request::Kind::Collect(collect);
    let reply = core.call(&member, kind, timeout).await.ok()?;
    match reply.kind {
        Some(wire::reply::Kind::Collected(collected)) => Some(collected),
        _ => None,
    }
}
