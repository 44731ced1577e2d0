//! Brings a starting node up to the version that it may have held before.

use std::rc;
use std::time;

use futures_util::future;
use membership::Member;
use platform::{Backoff, Store};
use schema::distribution as wire;

use crate::core::Core;
use crate::state;
use crate::{Mode, broadcast, fetch, overlay, sync};

const PLATFORM_BACKOFF_BASE: time::Duration = time::Duration::from_secs(1);
const PLATFORM_BACKOFF_MAX: time::Duration = time::Duration::from_secs(30);

/// Replies of the queried nodes.
#[derive(Default)]
struct Replies {
    /// Nodes that have replied, sorted.
    nodes: Vec<units::Node>,
    /// Whether any of them was ready.
    ready: bool,
    /// Highest version held by any of them, or remembered by any of them for this node.
    highest: units::Version,
    /// Highest version held, and the node holding it.
    best: Option<(u64, rc::Rc<Member>)>,
}

/// Runs until this node is ready.
pub(crate) async fn run<S: Store, L: peer::Link>(core: rc::Rc<Core<S, L>>, stop: kernel::Stop) {
    if core.state.settings.mode == Mode::Direct {
        return;
    }
    let started = time::Instant::now();
    let mut collected = Replies::default();
    let mut backoff = Backoff::new(PLATFORM_BACKOFF_BASE, PLATFORM_BACKOFF_MAX);
    let mut platform_at = started + state::jitter(core.state.settings.platform_after.0);
    while !core.state.is_ready() {
        stop.guard(query_peers(&core, &mut collected)).await;
        let now = time::Instant::now();
        if !core.state.is_ready() && now >= platform_at {
            stop.guard(read_platform(&core)).await;
            platform_at = now + backoff.next_wait(&mut rand::rng());
        }
        let pause = state::jitter(core.state.settings.join_pause.0);
        if core.state.is_ready() || !stop.sleep(pause).await {
            break;
        }
    }
    if core.state.is_ready() {
        broadcast::start(&core);
    }
}

/// Queries the neighbours, the most likely to remember the version of this node, and random nodes.
async fn query_peers<S: Store, L: peer::Link>(core: &rc::Rc<Core<S, L>>, collected: &mut Replies) {
    let view = core.view();
    let wanted = core.state.settings.join_peers;
    let mut queried = core.neighbours().as_ref().clone();
    queried.extend(overlay::random_members(
        &view,
        &core.state.node,
        None,
        wanted,
    ));
    queried.sort_by(|one, other| one.node.cmp(&other.node));
    queried.dedup_by(|one, other| one.node == other.node);
    let calls = queried
        .iter()
        .map(|member| broadcast::compare(core, member));
    let replies = future::join_all(calls).await;
    for (member, reply) in queried.iter().zip(replies) {
        if let Some(reply) = reply {
            add_reply(collected, member, &reply);
        }
    }
    let best = collected
        .best
        .take()
        .filter(|best| best.0 > core.state.version().0);
    if let Some((_, member)) = best {
        fetch::run(core, &member).await;
    }
    let others = view.running().filter(|one| one.node != core.state.node);
    let needed = others.take(wanted).count();
    let enough = collected.ready && collected.nodes.len() >= needed;
    if enough && core.state.version() >= collected.highest {
        core.state.set_ready();
    }
}

fn add_reply(collected: &mut Replies, member: &rc::Rc<Member>, reply: &wire::Reply) {
    let standing = reply.sender.unwrap_or_default();
    let remembered = match &reply.kind {
        Some(wire::reply::Kind::Held(held)) => held.remembered,
        _ => 0,
    };
    let highest = units::Version(standing.version.max(remembered));
    collected.highest = collected.highest.max(highest);
    collected.ready |= standing.ready;
    if let Err(index) = collected.nodes.binary_search(&member.node) {
        collected.nodes.insert(index, member.node.clone());
    }
    let best = collected.best.as_ref().map_or(0, |best| best.0);
    if standing.version > best {
        collected.best = Some((standing.version, member.clone()));
    }
}

/// Reads the platform, for when no nodes reply or none has reached the earlier version of this node.
async fn read_platform<S: Store, L: peer::Link>(core: &rc::Rc<Core<S, L>>) {
    match sync::read_all(core).await {
        Ok(_) => core.state.set_ready(),
        Err(error) => {
            log::debug!(error:% = error; "failed to read the configuration from the platform at start")
        }
    }
}
