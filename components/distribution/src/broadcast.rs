//! Pushes new versions to the neighbours.
//!
//! Implements epidemic broadcast trees (Leitão, Pereira and Rodrigues, SRDS 2007), simplified by the
//! total order of versions. Entries are pushed to a neighbour immediately (eager push) until it reports
//! a duplicate. After that, new versions are only announced to it (lazy push), after a delay and only
//! if it is not known to hold them. A node that receives such an announcement fetches the version, and
//! the link becomes eager again.
//!
//! A change enters at several nodes at the same time: the accepting node and the watchers. Where these
//! paths meet, a link of the tree stays lazy until the delay has passed, so the delay is kept short.

use std::rc;

use membership::Member;
use schema::distribution as wire;

use crate::core::Core;
use crate::state;

/// Starts pushing to all neighbours that are not known to hold the current version.
pub(crate) fn start<S: platform::Store, L: peer::Link>(core: &rc::Rc<Core<S, L>>) {
    let settings = &core.state.settings;
    if settings.mode == crate::Mode::Direct || !core.state.is_ready() {
        return;
    }
    for member in core.neighbours().iter() {
        let index = core.pushing.borrow().binary_search(&member.node);
        let Err(index) = index else {
            continue;
        };
        if is_behind(core, member) {
            core.pushing.borrow_mut().insert(index, member.node.clone());
            compio::runtime::spawn(push_until_current(core.clone(), member.clone())).detach();
        }
    }
}

fn is_behind<S: platform::Store, L: peer::Link>(core: &Core<S, L>, member: &Member) -> bool {
    let announced = core.state.peer_version(&member.node);
    announced.is_none_or(|one| one.current < core.state.version())
}

/// Pushes to one neighbour until it holds the current version or a push fails.
async fn push_until_current<S: platform::Store, L: peer::Link>(
    core: rc::Rc<Core<S, L>>,
    member: rc::Rc<Member>,
) {
    while is_behind(&core, &member) {
        if !push_once(&core, &member).await {
            break;
        }
    }
    let mut pushing = core.pushing.borrow_mut();
    if let Ok(index) = pushing.binary_search(&member.node) {
        pushing.remove(index);
    }
}

/// Sends missing entries or an announcement to the neighbour; returns `false` to stop pushing.
async fn push_once<S: platform::Store, L: peer::Link>(core: &Core<S, L>, member: &Member) -> bool {
    if core.is_lazy(&member.node) {
        announce_later(core, member).await;
        return false;
    }
    let held = core.state.version();
    let before = core.state.peer_version(&member.node).map(|one| one.current);
    let from = before.unwrap_or(units::Version(held.0.saturating_sub(1)));
    let entries = core.state.tail.borrow().after(from);
    let Some(entries) = entries.filter(|entries| !entries.is_empty()) else {
        compare(core, member).await;
        return false;
    };
    push(core, member, entries, before).await
}

/// Announces the current version to a neighbour after a delay, unless it holds the version by then.
///
/// The neighbour fetches missing entries itself.
async fn announce_later<S: platform::Store, L: peer::Link>(core: &Core<S, L>, member: &Member) {
    // Both ends of a link wait; with random delays the first announcement makes the other unnecessary.
    compio::time::sleep(state::jitter(core.state.settings.lazy_delay.0)).await;
    if is_behind(core, member) {
        compare(core, member).await;
    }
}

/// Announces the version and digest of this node to `member`.
pub(crate) async fn compare<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    member: &Member,
) -> Option<wire::Reply> {
    let digest = core.state.digest();
    let kind = wire::request::Kind::Compare(wire::Compare { digest });
    core.call(member, kind, core.call_timeout()).await.ok()
}

/// Sends entries to a neighbour that announced version `before`; returns `false` to stop pushing.
async fn push<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    member: &Member,
    entries: Vec<Vec<u8>>,
    before: Option<units::Version>,
) -> bool {
    let kind = wire::request::Kind::Publish(wire::Publish { entries });
    let Ok(reply) = core.call(member, kind, core.call_timeout()).await else {
        return false;
    };
    if let Some(wire::reply::Kind::Held(held)) = reply.kind
        && held.duplicate
    {
        core.set_lazy(&member.node, true);
    }
    // A neighbour whose version did not change has refused the entries or is fetching others.
    let after = core.state.peer_version(&member.node).map(|one| one.current);
    after > before
}
