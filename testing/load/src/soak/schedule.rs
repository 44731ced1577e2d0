//! Schedule of the faults of a soak.

use std::time;

use rand::seq::IteratorRandom;
use rand::{SeedableRng, rngs};

use crate::faults::{Action, Draw, Fault};

/// Every fault that may strike a single site.
const ACTIONS: [Action; 9] = [
    Action::KillBackend,
    Action::KillNode,
    Action::KillVm,
    Action::FreezeBackend,
    Action::FreezeNode,
    Action::Silence,
    Action::Drain,
    Action::PlatformOutage,
    Action::PlatformLosses,
];
/// Mean time between two single faults.
const EVERY: units::Period = units::Period::from_millis(2_500);
/// Shortest and longest single fault.
const LASTING: (units::Period, units::Period) =
    (units::Period::from_secs(1), units::Period::from_secs(5));
/// Length of a part, at whose end a herd dies.
const PART: time::Duration = time::Duration::from_secs(60);
/// Time that a herd stays dead.
const HERD_LASTS: time::Duration = time::Duration::from_secs(2);
/// Time after a herd's death without other faults.
const HERD_ROOM: time::Duration = time::Duration::from_secs(6);
/// One in so many VMs dies in a herd.
const HERD_PART: usize = 3;

/// The faults of a run of `length` on `sites`; the same seed gives the same ones. Single
/// faults alternate with the death of a third of the VMs at once.
#[must_use]
pub fn schedule(seed: u64, length: units::Period, sites: &[usize]) -> Vec<Fault> {
    let mut random = rngs::StdRng::seed_from_u64(seed);
    let parts = (length.0.as_secs() / PART.as_secs()).max(1);
    // A day has 1,440 parts.
    #[allow(clippy::cast_possible_truncation)]
    let part = length.0 / parts as u32;
    let mut faults = Vec::new();
    let mut begin = time::Duration::ZERO;
    for number in 0..parts {
        let draw = Draw {
            length: units::Period(part.saturating_sub(HERD_ROOM)),
            every: EVERY,
            lasting: LASTING,
            sites: sites.to_vec(),
            actions: ACTIONS.to_vec(),
        };
        let single = draw.schedule(seed.wrapping_add(number));
        faults.extend(single.into_iter().map(|fault| later(fault, begin)));
        let herd_at = begin + part.saturating_sub(HERD_ROOM);
        let herd = sites
            .iter()
            .choose_multiple(&mut random, sites.len() / HERD_PART);
        faults.extend(herd.into_iter().map(|site| herd_fault(*site, herd_at)));
        begin += part;
    }
    faults
}

fn later(fault: Fault, by: time::Duration) -> Fault {
    Fault {
        begin: units::Period(fault.begin.0 + by),
        end: units::Period(fault.end.0 + by),
        ..fault
    }
}

fn herd_fault(site: usize, at: time::Duration) -> Fault {
    Fault {
        begin: units::Period(at),
        end: units::Period(at + HERD_LASTS),
        site,
        action: Action::KillVm,
    }
}
