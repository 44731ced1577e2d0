//! Callers of some workspaces.

use std::time::Duration;

use config::Workspace;
use rand::Rng;

use crate::fleet::{Fleet, STEP};

/// A workspace, and where its requests come from.
pub(crate) struct Callers {
    pub(crate) workspace: Workspace,
    /// Requests a second.
    pub(crate) rate: f64,
    /// Nodes that its requests come to, each with the same part.
    pub(crate) nodes: Vec<usize>,
    /// Whether its callers go to other nodes now and then.
    pub(crate) moving: bool,
}

pub(crate) fn workspace(name: &str, rate: f64, burst: u32) -> Workspace {
    Workspace {
        name: name.into(),
        rate: units::Rate(rate),
        burst,
        ..Workspace::default()
    }
}

/// Lets requests come for `time`.
pub(crate) fn drive(fleet: &mut Fleet, callers: &mut [Callers], time: Duration) {
    let end = fleet.now + time;
    while fleet.now < end {
        fleet.step();
        for one in &mut *callers {
            arrive(fleet, one);
        }
    }
}

fn arrive(fleet: &mut Fleet, callers: &mut Callers) {
    if callers.moving && fleet.random.random_bool(STEP.as_secs_f64() / 2.0) {
        let node = fleet.random.random_range(0..fleet.machines.len());
        let place = fleet.random.random_range(0..callers.nodes.len());
        callers.nodes[place] = node;
    }
    let mean = callers.rate * STEP.as_secs_f64();
    let workspace = quota::hash(&callers.workspace.name);
    // Poisson arrivals, by the product of uniform numbers.
    let (limit, mut product) = ((-mean).exp(), 1.0);
    loop {
        product *= fleet.random.random::<f64>();
        if product <= limit {
            return;
        }
        let place = fleet.random.random_range(0..callers.nodes.len());
        fleet.request(callers.nodes[place], workspace);
    }
}

/// Panics if a window has more requests than the rule allows.
pub(crate) fn assert_bound(fleet: &mut Fleet, callers: &[Callers]) {
    let terms = fleet.settings.terms();
    for one in callers {
        let (rate, burst) = (one.workspace.rate.0, f64::from(one.workspace.burst));
        let most = terms.most(rate, burst);
        let tally = fleet.tally(quota::hash(&one.workspace.name));
        let used = tally.most_used(terms.window);
        let name = &one.workspace.name;
        assert!(
            used as f64 <= most,
            "{name}: {used} in a window, {most} allowed"
        );
    }
}
