//! Periodic comparison with random nodes.

use std::rc;

use platform::Store;
use rand::Rng;

use crate::core::Core;
use crate::{Mode, fetch, overlay, spread, state};

/// Part of the comparisons that go to any data centre.
const REMOTE_FRACTION: f64 = 0.125;

/// Compares with one random node an interval, and fetches what is missing.
pub(crate) async fn run<S: Store, L: peer::Link>(core: rc::Rc<Core<S, L>>, stop: kernel::Stop) {
    if core.state.settings.mode == Mode::Direct {
        return;
    }
    while stop
        .sleep(state::jitter(core.state.settings.repair.0))
        .await
    {
        stop.guard(once(&core)).await;
    }
}

async fn once<S: Store, L: peer::Link>(core: &rc::Rc<Core<S, L>>) {
    let state = &core.state;
    let view = core.view();
    let member = |node: &units::Node| view.member(node).is_some();
    state.known.borrow_mut().prune(member);
    let anywhere = rand::rng().random_bool(REMOTE_FRACTION);
    let data_centre = (!anywhere).then_some(&state.data_centre);
    let chosen = overlay::random_members(&view, &state.node, data_centre, 1);
    let Some(member) = chosen.first() else {
        return;
    };
    let Some(reply) = spread::compare(core, member).await else {
        return;
    };
    let theirs = reply.sender.map_or(0, |standing| standing.version);
    if theirs > state.version().0 {
        fetch::start(core, &member.node);
    }
}
