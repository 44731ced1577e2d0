//! Random failures in series that overlap.

use std::time::Duration;

use rand::Rng;

use crate::fleet::Fleet;
use crate::load::{Callers, assert_bound, drive, workspace};

const NODES: usize = 13;
/// Seeds of a short run; the variable `QUOTA_SEEDS` sets another number.
const SEEDS: u64 = 10;

#[test]
fn random_failures_keep_the_bound() {
    let seeds = std::env::var("QUOTA_SEEDS").ok();
    let seeds = seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..seeds {
        let mut callers: Vec<_> = (0..4)
            .map(|index| Callers {
                workspace: workspace(
                    &format!("w{index}"),
                    10.0 * f64::from(index + 1),
                    index * 15,
                ),
                rate: 40.0 * f64::from(index + 1),
                nodes: (0..NODES).collect(),
                moving: false,
            })
            .collect();
        let workspaces: Vec<_> = callers.iter().map(|one| one.workspace.clone()).collect();
        let mut fleet = Fleet::new(seed, NODES, &workspaces);
        for _ in 0..60 {
            fail(&mut fleet);
            for (index, one) in callers.iter_mut().enumerate() {
                let times = [0.0, 0.6, 4.0, 20.0][fleet.random.random_range(0..4)];
                one.rate = 10.0 * (index as f64 + 1.0) * times;
            }
            let pause = fleet.random.random_range(50..700);
            drive(&mut fleet, &mut callers, Duration::from_millis(pause));
        }
        assert_bound(&mut fleet, &callers);
    }
}

/// One failure or repair, of the granter in every second case.
fn fail(fleet: &mut Fleet) {
    let any = fleet.random.random_range(0..NODES);
    let granting = fleet.granting().first().copied();
    let is_granter = fleet.random.random_bool(0.5);
    let index = granting.filter(|_| is_granter).unwrap_or(any);
    match fleet.random.random_range(0..9) {
        0 => fleet.kill(index),
        1 | 2 => {
            for index in 0..NODES {
                if !fleet.machines[index].running {
                    fleet.restart(index);
                }
            }
        }
        3 => fleet.machines[index].frozen = fleet.now + Duration::from_millis(2_500),
        4 => fleet.machines[index].side ^= 1,
        5 => {
            for machine in &mut fleet.machines {
                machine.side = 0;
            }
        }
        6 => {
            for machine in fleet.machines.iter_mut().step_by(2) {
                machine.side ^= 1;
            }
        }
        7 => fleet.loss = 0.2 - fleet.loss,
        _ => {
            let millis = fleet.random.random_range(5..400);
            fleet.delay = Duration::from_millis(millis);
        }
    }
}
