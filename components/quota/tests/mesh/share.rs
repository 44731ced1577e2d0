//! What callers get while nothing fails.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::load::{Callers, assert_bound, drive, workspace};

/// Numbers of nodes.
const SIZES: [usize; 2] = [40, 91];

fn skewed(nodes: usize, rate_part: f64) -> Vec<Callers> {
    let rates = [300.0, 120.0, 60.0, 25.0, 10.0, 4.0, 2.0];
    let callers = rates.iter().enumerate().map(|(index, rate)| Callers {
        workspace: workspace(&format!("w{index}"), *rate, 0),
        rate: rate * rate_part,
        // A few nodes have most of the callers.
        nodes: (0..nodes).map(|node| node * node / (nodes * 2)).collect(),
        moving: true,
    });
    callers.collect()
}

fn fleet(seed: u64, nodes: usize, callers: &[Callers]) -> Fleet {
    let workspaces: Vec<_> = callers.iter().map(|one| one.workspace.clone()).collect();
    let mut fleet = Fleet::new(seed, nodes, &workspaces);
    drive(&mut fleet, &mut [], Duration::from_secs(10));
    fleet
}

#[test]
fn take_serves_steady_demand_below_the_quota() {
    for seed in 0..6 {
        let nodes = SIZES[seed as usize % SIZES.len()];
        let mut callers = skewed(nodes, 0.95);
        let mut fleet = fleet(seed, nodes, &callers);
        let start = fleet.now + Duration::from_secs(1);
        drive(&mut fleet, &mut callers, Duration::from_secs(15));
        let end = fleet.now - Duration::from_secs(1);
        for one in &callers {
            let name = &one.workspace.name;
            let tally = fleet.tally(quota::hash(name));
            let asked = tally.asked_between(start, end);
            // Chance asks for more than a small workspace may have; that is not owed.
            let allowed = one.workspace.rate.0 * (end - start).as_secs_f64();
            let allowed = allowed + f64::from(one.workspace.burst);
            let owed = allowed.min(asked as f64);
            // What was asked late may be served after the end.
            let used = tally.used_between(start, end + Duration::from_secs(1));
            let late = (tally.refused_late, tally.refused_at_once);
            assert!(
                used as f64 >= owed * 0.99,
                "seed {seed}, {name}: {used} of {asked}, refused {late:?}"
            );
        }
        assert_bound(&mut fleet, &callers);
    }
}

#[test]
fn take_gives_a_hot_workspace_its_quota_and_refuses_the_rest_at_once() {
    for seed in 0..4 {
        let nodes = SIZES[seed as usize % SIZES.len()];
        let mut callers = skewed(nodes, 0.6);
        let mut fleet = fleet(seed, nodes, &callers);
        // Five times the usual rate.
        callers[2].rate *= 5.0;
        callers[4].rate *= 5.0;
        let start = fleet.now + Duration::from_secs(1);
        drive(&mut fleet, &mut callers, Duration::from_secs(15));
        let end = fleet.now;
        for index in [2, 4] {
            let quota = callers[index].workspace.rate.0 * (end - start).as_secs_f64();
            let tally = fleet.tally(quota::hash(&callers[index].workspace.name));
            let used = tally.used_between(start, end);
            assert!(used as f64 >= quota * 0.9, "w{index}: {used} of {quota}");
            let (now, late) = (tally.refused_at_once, tally.refused_late);
            assert!(now > late * 9, "w{index}: {now} at once, {late} late");
        }
        assert_bound(&mut fleet, &callers);
    }
}

#[test]
fn report_keeps_to_its_period_while_tokens_suffice() {
    let nodes = SIZES[1];
    let mut callers = skewed(nodes, 0.6);
    let mut fleet = fleet(1, nodes, &callers);
    drive(&mut fleet, &mut callers, Duration::from_secs(2));
    let before = fleet.reports;
    drive(&mut fleet, &mut callers, Duration::from_secs(10));
    // Twice the reports of the period leave as many for asks.
    let most = 2 * nodes * 10_000 / 400;
    let reports = fleet.reports - before;
    assert!(reports <= most, "{reports} reports, at most {most}");
}
