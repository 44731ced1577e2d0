//! The granter and others fail.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::load::{Callers, assert_bound, drive, workspace};

const NODES: usize = 15;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Callers that ask for more than their quota, so that the bound is reached, and usual ones.
fn callers() -> Vec<Callers> {
    let callers = [
        (30.0, 60, 3.0),
        (80.0, 0, 3.0),
        (5.0, 10, 0.6),
        (100.0, 20, 0.6),
    ];
    let callers = callers
        .iter()
        .enumerate()
        .map(|(index, (rate, burst, part))| Callers {
            workspace: workspace(&format!("w{index}"), *rate, *burst),
            rate: rate * part,
            nodes: (0..NODES).collect(),
            moving: true,
        });
    callers.collect()
}

fn start(seed: u64) -> (Fleet, Vec<Callers>) {
    let mut callers = callers();
    let workspaces: Vec<_> = callers.iter().map(|one| one.workspace.clone()).collect();
    let mut fleet = Fleet::new(seed, NODES, &workspaces);
    drive(&mut fleet, &mut [], seconds(5));
    drive(&mut fleet, &mut callers, seconds(8));
    (fleet, callers)
}

/// Usual callers are served again within `time` from now.
fn assert_served(fleet: &mut Fleet, callers: &mut [Callers], time: Duration) {
    drive(fleet, callers, time);
    let from = fleet.now;
    drive(fleet, callers, seconds(5));
    let to = fleet.now - seconds(1);
    for one in &callers[2..] {
        let tally = fleet.tally(quota::hash(&one.workspace.name));
        let (asked, used) = (
            tally.asked_between(from, to),
            tally.used_between(from, fleet_end(to)),
        );
        assert!(used as f64 >= asked as f64 * 0.95, "{used} of {asked}");
    }
}

fn fleet_end(to: Duration) -> Duration {
    to + seconds(1)
}

#[test]
fn granter_killed_is_replaced_within_the_bound() {
    for seed in 0..4 {
        let (mut fleet, mut callers) = start(seed);
        let first = fleet.granting();
        assert_eq!(first, [fleet.first()]);
        fleet.kill(first[0]);
        for one in &mut callers {
            one.nodes.retain(|node| *node != first[0]);
            one.moving = false;
        }
        assert_served(&mut fleet, &mut callers, seconds(3));
        assert_ne!(fleet.granting(), first);
        assert_bound(&mut fleet, &callers);
    }
}

/// Requests that come at once, more than any bucket holds.
fn burst(fleet: &mut Fleet, callers: &mut [Callers]) {
    for one in &mut *callers {
        one.rate *= 20.0;
    }
    drive(fleet, callers, Duration::from_millis(600));
    for one in &mut *callers {
        one.rate /= 20.0;
    }
}

#[test]
fn granter_killed_after_a_burst_gives_no_second_one() {
    for seed in 0..4 {
        let mut callers = callers();
        let workspaces: Vec<_> = callers.iter().map(|one| one.workspace.clone()).collect();
        let mut fleet = Fleet::new(seed, NODES, &workspaces);
        // Long enough for full buckets.
        drive(&mut fleet, &mut [], seconds(20));
        burst(&mut fleet, &mut callers);
        let first = fleet.first();
        fleet.kill(first);
        drive(&mut fleet, &mut [], Duration::from_millis(1_800));
        burst(&mut fleet, &mut callers);
        assert_bound(&mut fleet, &callers);
    }
}

#[test]
fn granter_cut_off_stops_and_is_replaced_within_the_bound() {
    for seed in 0..4 {
        let (mut fleet, mut callers) = start(seed);
        let first = fleet.first();
        fleet.machines[first].side = 1;
        drive(&mut fleet, &mut callers, seconds(6));
        let granting = fleet.granting();
        assert_eq!(granting.len(), 1);
        assert_ne!(granting, [first]);
        fleet.machines[first].side = 0;
        assert_served(&mut fleet, &mut callers, seconds(3));
        assert_bound(&mut fleet, &callers);
    }
}

#[test]
fn mesh_cut_into_halves_grants_on_one_side_at_most() {
    for seed in 0..4 {
        let (mut fleet, mut callers) = start(seed);
        let half = NODES / 2;
        for (index, machine) in fleet.machines.iter_mut().enumerate() {
            machine.side = u32::from(index % 2 == 0 && index / 2 < half);
        }
        for _ in 0..60 {
            drive(&mut fleet, &mut callers, Duration::from_millis(100));
            assert!(fleet.granting().len() <= 1);
        }
        for machine in &mut fleet.machines {
            machine.side = 0;
        }
        assert_served(&mut fleet, &mut callers, seconds(4));
        assert_bound(&mut fleet, &callers);
    }
}

#[test]
fn granter_frozen_wakes_without_a_term() {
    for seed in 0..4 {
        let (mut fleet, mut callers) = start(seed);
        let first = fleet.first();
        fleet.machines[first].frozen = fleet.now + seconds(4);
        drive(&mut fleet, &mut callers, seconds(5));
        let granting = fleet.granting();
        assert_eq!(granting.len(), 1, "seed {seed}");
        assert_ne!(granting, [first]);
        assert_served(&mut fleet, &mut callers, seconds(2));
        assert_bound(&mut fleet, &callers);
    }
}

#[test]
fn wallet_frozen_wakes_without_tokens() {
    for seed in 0..4 {
        let (mut fleet, mut callers) = start(seed);
        let end = fleet.now + seconds(6);
        for machine in &mut fleet.machines[3..9] {
            machine.frozen = end;
        }
        drive(&mut fleet, &mut callers, seconds(12));
        assert_bound(&mut fleet, &callers);
    }
}

#[test]
fn restart_of_all_keeps_the_bound() {
    for seed in 0..4 {
        let (mut fleet, mut callers) = start(seed);
        for index in 0..NODES {
            fleet.kill(index);
        }
        drive(&mut fleet, &mut [], Duration::from_millis(600));
        for index in 0..NODES {
            fleet.restart(index);
        }
        assert_served(&mut fleet, &mut callers, seconds(4));
        assert_bound(&mut fleet, &callers);
    }
}

#[test]
fn granters_killed_in_a_row_keep_the_bound() {
    for seed in 0..4 {
        let (mut fleet, mut callers) = start(seed);
        for _ in 0..6 {
            for granter in fleet.granting() {
                fleet.kill(granter);
                drive(&mut fleet, &mut callers, Duration::from_millis(1_600));
                fleet.restart(granter);
            }
            drive(&mut fleet, &mut callers, Duration::from_millis(300));
        }
        assert_served(&mut fleet, &mut callers, seconds(4));
        assert_bound(&mut fleet, &callers);
    }
}

#[test]
fn falling_rate_binds_one_window_later() {
    for seed in 0..4 {
        let (mut fleet, mut callers) = start(seed);
        callers[0].workspace.rate = units::Rate(6.0);
        callers[0].workspace.burst = 2;
        let workspaces: Vec<_> = callers.iter().map(|one| one.workspace.clone()).collect();
        fleet.configure(&workspaces);
        let from = fleet.now + fleet.settings.window.0;
        drive(&mut fleet, &mut callers, seconds(15));
        let tally = fleet.tally(quota::hash("w0"));
        tally.used.retain(|time| *time >= from);
        assert_bound(&mut fleet, &callers);
    }
}

#[test]
fn lost_messages_keep_the_bound_and_serve_most() {
    for seed in 0..4 {
        let (mut fleet, mut callers) = start(seed);
        fleet.loss = 0.1;
        drive(&mut fleet, &mut callers, seconds(15));
        fleet.loss = 0.0;
        assert_served(&mut fleet, &mut callers, seconds(2));
        assert_bound(&mut fleet, &callers);
    }
}

#[test]
fn wrong_views_keep_the_bound() {
    for seed in 0..4 {
        let mut callers = callers();
        let workspaces: Vec<_> = callers.iter().map(|one| one.workspace.clone()).collect();
        let mut fleet = Fleet::new(seed, NODES, &workspaces);
        let first = fleet.first();
        for index in 0..NODES {
            // The first candidate knows three members; the others each lack two, some of them the first.
            let is_known = |other: &usize| (index + other).is_multiple_of(5) || *other == index;
            let unknown = (0..NODES).filter(|other| match index == first {
                true => !is_known(other),
                false => (index + other).is_multiple_of(7) && *other != index,
            });
            fleet.machines[index].unknown = unknown.collect();
        }
        drive(&mut fleet, &mut [], seconds(5));
        drive(&mut fleet, &mut callers, seconds(10));
        for machine in &mut fleet.machines {
            machine.unknown.clear();
        }
        assert_served(&mut fleet, &mut callers, seconds(5));
        assert_bound(&mut fleet, &callers);
    }
}
