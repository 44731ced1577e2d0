//! Push of new versions to the neighbours.
//!
//! Epidemic broadcast trees (Leitão, Pereira and Rodrigues, SRDS 2007), simplified by the total
//! order of versions: a neighbour gets entries at once until it reports a duplicate; from then on
//! it is told of new versions after a delay, and only when it is not known to hold them. A node
//! that learns of a version in this way fetches it, and the link carries entries again.
//!
//! Changes enter at several nodes at once, at the accepting one and the watchers. Where their
//! paths meet, a link of the tree is lost until the delay has passed, so that the delay is short.

use std::rc;

use membership::Member;
use schema::distribution as wire;

use crate::core::Core;
use crate::state;

/// Starts to feed all neighbours that are not known to hold the current version.
pub(crate) fn start<S: platform::Store, L: peer::Link>(core: &rc::Rc<Core<S, L>>) {
    let settings = &core.state.settings;
    if settings.mode == crate::Mode::Direct || !core.state.is_ready() {
        return;
    }
    for member in core.neighbours().iter() {
        let place = core.fed.borrow().binary_search(&member.node);
        let Err(place) = place else {
            continue;
        };
        if is_behind(core, member) {
            core.fed.borrow_mut().insert(place, member.node.clone());
            compio::runtime::spawn(feed(core.clone(), member.clone())).detach();
        }
    }
}

fn is_behind<S: platform::Store, L: peer::Link>(core: &Core<S, L>, member: &Member) -> bool {
    let announced = core.state.announced(&member.node);
    announced.is_none_or(|one| one.current < core.state.version())
}

/// Feeds one neighbour until it holds the current version or fails.
async fn feed<S: platform::Store, L: peer::Link>(core: rc::Rc<Core<S, L>>, member: rc::Rc<Member>) {
    while is_behind(&core, &member) {
        if !step(&core, &member).await {
            break;
        }
    }
    let mut fed = core.fed.borrow_mut();
    if let Ok(place) = fed.binary_search(&member.node) {
        fed.remove(place);
    }
}

/// Sends what the neighbour lacks, or tells it; `false` ends the feeding.
async fn step<S: platform::Store, L: peer::Link>(core: &Core<S, L>, member: &Member) -> bool {
    if core.is_lazy(&member.node) {
        tell(core, member).await;
        return false;
    }
    let held = core.state.version();
    let before = core.state.announced(&member.node).map(|one| one.current);
    let from = before.unwrap_or(units::Version(held.0.saturating_sub(1)));
    let entries = core.state.tail.borrow().after(from);
    let Some(entries) = entries.filter(|entries| !entries.is_empty()) else {
        compare(core, member).await;
        return false;
    };
    push(core, member, entries, before).await
}

/// Tells a neighbour of the current version after a delay, unless it has learned of it meanwhile.
///
/// What the neighbour lacks it fetches itself.
async fn tell<S: platform::Store, L: peer::Link>(core: &Core<S, L>, member: &Member) {
    // Both ends of a link wait; drawn delays let the earlier one spare the other its message.
    compio::time::sleep(state::jitter(core.state.settings.lazy_delay.0)).await;
    if is_behind(core, member) {
        compare(core, member).await;
    }
}

/// Announces the own version to `member`.
pub(crate) async fn compare<S: platform::Store, L: peer::Link>(
    core: &Core<S, L>,
    member: &Member,
) -> Option<wire::Reply> {
    let digest = core.state.digest();
    let kind = wire::request::Kind::Compare(wire::Compare { digest });
    core.call(member, kind, core.call_timeout()).await.ok()
}

/// Sends entries to a neighbour that announced the version `before`; `false` ends the feeding.
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
    // A neighbour that did not move refuses the entries or fetches others meanwhile.
    let after = core.state.announced(&member.node).map(|one| one.current);
    after > before
}
