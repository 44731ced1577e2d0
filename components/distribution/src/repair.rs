//! Anti-entropy: periodic comparison of versions with random nodes.

use std::rc;

use platform::Store;
use rand::Rng;

use crate::core::Core;
use crate::{Mode, broadcast, fetch, overlay, state};

/// Fraction of comparisons whose node is chosen from all data centres instead of the local one.
const REMOTE_FRACTION: f64 = 0.125;

/// Compares versions with one random node per interval, and fetches missing entries from it.
pub(crate) async fn run<S: Store, L: peer::Link>(core: rc::Rc<Core<S, L>>, stop: kernel::Stop) {
    if core.state.settings.mode == Mode::Direct {
        return;
    }
    while stop
        .sleep(state::jitter(core.state.settings.repair.0))
        .await
    {
        stop.guard(compare_once(&core)).await;
    }
}

async fn compare_once<S: Store, L: peer::Link>(core: &rc::Rc<Core<S, L>>) {
    let state = &core.state;
    let view = core.view();
    let is_member = |node: &units::Node| view.member(node).is_some();
    state.peer_versions.borrow_mut().prune(is_member);
    let any_data_centre = rand::rng().random_bool(REMOTE_FRACTION);
    let data_centre = (!any_data_centre).then_some(&state.data_centre);
    let chosen = overlay::random_members(&view, &state.node, data_centre, 1);
    let Some(member) = chosen.first() else {
        return;
    };
    let Some(reply) = broadcast::compare(core, member).await else {
        return;
    };
    let remote_version = reply.sender.map_or(0, |standing| standing.version);
    if remote_version > state.version().0 {
        fetch::start(core, &member.node);
    }
}
