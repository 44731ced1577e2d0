//! Schedules of faults by seed.

use radishgap_load::faults::{Action, Draw};

fn draw() -> Draw {
    Draw {
        length: units::Period::from_secs(60),
        every: units::Period::from_secs(1),
        lasting: (units::Period::from_secs(1), units::Period::from_secs(5)),
        sites: vec![2, 3, 4],
        actions: vec![Action::KillNode, Action::FreezeBackend, Action::Silence],
    }
}

#[test]
fn schedule_same_seed() {
    assert_eq!(draw().schedule(5), draw().schedule(5));
    assert_ne!(draw().schedule(5), draw().schedule(6));
}

#[test]
fn schedule_content() {
    let faults = draw().schedule(5);
    assert!(faults.len() > 10, "{} faults", faults.len());
    assert!(faults.is_sorted_by_key(|fault| fault.begin));
    for (index, fault) in faults.iter().enumerate() {
        assert!(draw().sites.contains(&fault.site));
        assert!(draw().actions.contains(&fault.action));
        assert!(fault.begin < fault.end && fault.end < draw().length);
        let later = faults[index + 1..].iter();
        let overlap = later.clone().find(|one| one.site == fault.site);
        assert!(overlap.is_none_or(|one| one.begin > fault.end));
    }
}

#[test]
fn soak_same_seed() {
    let sites: Vec<_> = (0..12).collect();
    let schedule = |seed, seconds| {
        radishgap_load::soak::schedule(seed, units::Period::from_secs(seconds), &sites)
    };
    assert_eq!(schedule(5, 180), schedule(5, 180));
    assert_ne!(schedule(5, 180), schedule(6, 180));
    for seconds in [24, 180] {
        let faults = schedule(5, seconds);
        let length = units::Period::from_secs(seconds);
        assert!(faults.iter().all(|fault| fault.end < length));
        let herds = faults.chunk_by(|one, other| one.begin == other.begin);
        let herds = herds.filter(|herd| herd.len() == sites.len() / 3);
        assert_eq!(herds.count() as u64, (seconds / 60).max(1));
    }
}
