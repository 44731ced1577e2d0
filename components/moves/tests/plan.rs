//! Tests that plans fit before any deadline, and tests of traffic shares.

use std::time;

use moves::{Plan, Settings, shares};
use proptest::prelude::*;

proptest! {
    /// Phases that take their planned times get at least their shortest times and end before the deadline.
    #[test]
    fn hold_fits(extra_ms in 0_u64..3_600_000) {
        let settings = Settings::default();
        let start = time::Instant::now();
        let total = Plan::shortest(&settings) + time::Duration::from_millis(extra_ms);
        let plan = Plan::new(&settings, start + total);
        let mut now = start;
        for phase in 0..=plan.last() {
            let hold = plan.hold(phase, now);
            prop_assert!(hold >= plan.shortest_of(phase));
            now += hold;
            prop_assert!(now <= plan.latest_end(phase), "phase {phase}");
        }
        prop_assert!(now <= start + total - settings.reserve.0);
    }

    /// A phase that ends at its latest time leaves the later phases their shortest times.
    #[test]
    fn latest_end_leaves_shortest_times(phase in 0_usize..6, extra_ms in 0_u64..600_000) {
        let settings = Settings::default();
        let start = time::Instant::now();
        let total = Plan::shortest(&settings) + time::Duration::from_millis(extra_ms);
        let plan = Plan::new(&settings, start + total);
        let mut now = plan.latest_end(phase);
        for later in phase + 1..=plan.last() {
            prop_assert_eq!(plan.hold(later, now), plan.shortest_of(later));
            now += plan.shortest_of(later);
        }
        prop_assert_eq!(now, start + total - settings.reserve.0);
    }

    /// A step keeps the sum of the shares and the shares of other versions.
    #[test]
    fn at_step_keeps_the_sum(from in 1_u32..5_000, to in 0_u32..2_000, step in 0_u32..=10_000) {
        let weight = |version: &str, parts: u32| config::Weight {
            version: version.into(),
            share: units::Share::from_parts(parts).expect("valid share"),
        };
        let other = 10_000 - from - to;
        let original = [weight("v1", from), weight("v2", to), weight("v0", other), weight("gone", 0)];
        let step = units::Share::from_parts(step).expect("valid share");
        let weights = shares::at_step(&original, "v1", "v2", step);
        let sum: u32 = weights.iter().map(|weight| weight.share.parts()).sum();
        prop_assert_eq!(sum, 10_000);
        prop_assert!(weights.contains(&weight("v0", other)));
        prop_assert!(weights.iter().all(|weight| weight.version != "gone"));
    }
}

#[test]
fn focus_cases() {
    for (parts, backends, expected) in [
        (200, 4, 1),
        (2_500, 4, 1),
        (2_501, 4, 2),
        (5_000, 4, 2),
        (9_500, 4, 4),
        (10_000, 4, 4),
        (500, 0, 1),
    ] {
        let share = units::Share::from_parts(parts).expect("valid share");
        assert_eq!(
            shares::focus(share, backends),
            expected,
            "{share} of {backends}"
        );
    }
}
