//! Brings a starting node up to what it may have held before.

use std::rc;
use std::time;

use futures_util::future;
use membership::Member;
use platform::{Backoff, Store};
use schema::distribution as wire;

use crate::core::Core;
use crate::state;
use crate::{Mode, fetch, overlay, spread, sync};

const PLATFORM_BACKOFF_BASE: time::Duration = time::Duration::from_secs(1);
const PLATFORM_BACKOFF_MOST: time::Duration = time::Duration::from_secs(30);

/// What the asked nodes have said.
#[derive(Default)]
struct Answers {
    /// Nodes that answered, sorted.
    nodes: Vec<units::Node>,
    /// Whether one of them was ready.
    ready: bool,
    /// Highest version that any of them holds or remembers of this node.
    highest: units::Version,
    /// Who holds the highest version.
    best: Option<(u64, rc::Rc<Member>)>,
}

/// Runs until this node is ready.
pub(crate) async fn run<S: Store, L: peer::Link>(core: rc::Rc<Core<S, L>>, stop: kernel::Stop) {
    if core.state.settings.mode == Mode::Direct {
        return;
    }
    let started = time::Instant::now();
    let mut answers = Answers::default();
    let mut backoff = Backoff::new(PLATFORM_BACKOFF_BASE, PLATFORM_BACKOFF_MOST);
    let mut platform_at = started + state::jitter(core.state.settings.platform_after.0);
    while !core.state.is_ready() {
        stop.guard(ask(&core, &mut answers)).await;
        let now = time::Instant::now();
        if !core.state.is_ready() && now >= platform_at {
            stop.guard(ask_platform(&core)).await;
            platform_at = now + backoff.next_wait(&mut rand::rng());
        }
        let pause = state::jitter(core.state.settings.join_pause.0);
        if core.state.is_ready() || !stop.sleep(pause).await {
            break;
        }
    }
    if core.state.is_ready() {
        spread::start(&core);
    }
}

/// Asks the neighbours, which remember most of this node, and some random nodes.
async fn ask<S: Store, L: peer::Link>(core: &rc::Rc<Core<S, L>>, answers: &mut Answers) {
    let view = core.view();
    let wanted = core.state.settings.join_peers;
    let mut asked = core.neighbours().as_ref().clone();
    asked.extend(overlay::random_members(
        &view,
        &core.state.node,
        None,
        wanted,
    ));
    asked.sort_by(|one, other| one.node.cmp(&other.node));
    asked.dedup_by(|one, other| one.node == other.node);
    let calls = asked.iter().map(|member| spread::compare(core, member));
    let replies = future::join_all(calls).await;
    for (member, reply) in asked.iter().zip(replies) {
        if let Some(reply) = reply {
            note(answers, member, &reply);
        }
    }
    let best = answers
        .best
        .take()
        .filter(|best| best.0 > core.state.version().0);
    if let Some((_, member)) = best {
        fetch::run(core, &member).await;
    }
    let others = view.running().filter(|one| one.node != core.state.node);
    let needed = others.take(wanted).count();
    let enough = answers.ready && answers.nodes.len() >= needed;
    if enough && core.state.version() >= answers.highest {
        core.state.set_ready();
    }
}

fn note(answers: &mut Answers, member: &rc::Rc<Member>, reply: &wire::Reply) {
    let standing = reply.sender.unwrap_or_default();
    let remembered = match &reply.kind {
        Some(wire::reply::Kind::Held(held)) => held.remembered,
        _ => 0,
    };
    let highest = units::Version(standing.version.max(remembered));
    answers.highest = answers.highest.max(highest);
    answers.ready |= standing.ready;
    if let Err(place) = answers.nodes.binary_search(&member.node) {
        answers.nodes.insert(place, member.node.clone());
    }
    let best = answers.best.as_ref().map_or(0, |best| best.0);
    if standing.version > best {
        answers.best = Some((standing.version, member.clone()));
    }
}

/// Reads the platform, where no nodes answer or none holds what this one held before.
async fn ask_platform<S: Store, L: peer::Link>(core: &rc::Rc<Core<S, L>>) {
    match sync::full(core).await {
        Ok(_) => core.state.set_ready(),
        Err(error) => log::debug!(error:% = error; "the platform does not answer a starting node"),
    }
}
