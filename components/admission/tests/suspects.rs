//! Suspects and quarantine after crashes.

use std::time::{Duration, Instant};

use admission::{Crash, Settings, Standing, Suspects};
use schema::admission as wire;

fn crash(node: &str, instance: u64, alone: bool) -> Crash {
    Crash {
        node: node.parse().expect("a node id"),
        instance,
        alone,
    }
}

fn is_quarantined(suspects: &Suspects, now: Instant) -> bool {
    let standing = suspects.standing(7, now, &Settings::default());
    matches!(standing, Standing::Quarantined(_))
}

#[test]
fn standing_after_crashes() {
    let cases: [(&[Crash], bool); 6] = [
        (&[crash("a", 1, false)], false),
        (&[crash("a", 1, true)], false),
        (&[crash("a", 1, false), crash("b", 1, true)], true),
        (&[crash("a", 1, false), crash("a", 2, true)], true),
        // The same crash reported twice counts once.
        (&[crash("a", 1, true), crash("a", 1, true)], false),
        // Crashes at the same time may have the same concurrent requests.
        (&[crash("a", 1, false), crash("b", 1, false)], false),
    ];
    let (now, settings) = (Instant::now(), Settings::default());
    for (crashes, wanted) in cases {
        let mut suspects = Suspects::default();
        for crash in crashes {
            suspects.add(7, crash, now, &settings);
        }
        assert_eq!(is_quarantined(&suspects, now), wanted, "{crashes:?}");
        assert_eq!(suspects.standing(8, now, &settings), Standing::Clean);
    }
}

#[test]
fn standing_over_time() {
    let (now, settings) = (Instant::now(), Settings::default());
    let mut suspects = Suspects::default();
    suspects.add(7, &crash("a", 1, false), now, &settings);
    suspects.add(7, &crash("a", 2, true), now, &settings);
    let later = now + Duration::from_secs(599);
    let standing = suspects.standing(7, later, &settings);
    assert_eq!(standing, Standing::Quarantined(Duration::from_secs(1)));
    let later = now + Duration::from_secs(600);
    assert_eq!(suspects.standing(7, later, &settings), Standing::Clean);
    suspects.expire(later, &settings);
    assert!(suspects.is_empty());
}

#[test]
fn clear_and_withdraw() {
    let (now, settings) = (Instant::now(), Settings::default());
    let mut suspects = Suspects::default();
    suspects.add(7, &crash("a", 1, false), now, &settings);
    suspects.add(8, &crash("a", 1, false), now, &settings);
    suspects.add(8, &crash("b", 1, false), now, &settings);
    assert!(suspects.clear(7));
    assert!(!suspects.clear(7));
    assert!(suspects.withdraw(&crash("a", 1, false)));
    assert_eq!(suspects.len(), 1);
    assert!(suspects.withdraw(&crash("b", 1, true)));
    assert!(suspects.is_empty());
}

#[test]
fn merge_of_notices() {
    let (now, settings) = (Instant::now(), Settings::default());
    let mut here = Suspects::default();
    let mut there = Suspects::default();
    here.add(7, &crash("a", 1, false), now, &settings);
    there.add(7, &crash("b", 1, true), now, &settings);
    let notice = wire::Notice {
        suspects: here.encode(7, now).into_iter().collect(),
        ..wire::Notice::default()
    };
    for _ in 0..2 {
        there.merge(&notice, now, &settings);
    }
    assert!(is_quarantined(&there, now));
    let malformed = wire::Crash {
        node: "no node id!".into(),
        ..wire::Crash::default()
    };
    let notice = wire::Notice {
        withdrawn: vec![malformed],
        cleared: vec![7],
        ..wire::Notice::default()
    };
    there.merge(&notice, now, &settings);
    assert!(there.is_empty());
}

#[test]
fn add_above_limit() {
    let settings = Settings {
        suspects: 3,
        ..Settings::default()
    };
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.add(7, &crash("a", 1, false), now, &settings);
    suspects.add(7, &crash("a", 2, true), now, &settings);
    for fingerprint in 10..30 {
        let at = now + Duration::from_secs(fingerprint);
        suspects.add(fingerprint, &crash("a", 3, false), at, &settings);
    }
    assert_eq!(suspects.len(), 3);
    assert!(is_quarantined(&suspects, now));
}

/// Reminders carry the age of a suspect: otherwise owners that remind each other would extend a
/// quarantine for ever.
#[test]
fn reminder_preserves_age() {
    let (start, settings) = (Instant::now(), Settings::default());
    let node = "a".parse().expect("a node id");
    let mut here = Suspects::default();
    here.add(7, &crash("a", 1, false), start, &settings);
    here.add(7, &crash("b", 2, true), start, &settings);
    here.add(8, &crash("b", 3, false), start, &settings);
    let later = start + Duration::from_secs(590);
    let reminded = here.reminder(&node, 10, later);
    let fingerprints: Vec<_> = reminded.iter().map(|one| one.fingerprint).collect();
    assert_eq!(
        fingerprints,
        [7],
        "the other suspect is of a crash beside another node"
    );
    let notice = wire::Notice {
        suspects: reminded,
        ..wire::Notice::default()
    };
    let mut there = Suspects::default();
    there.merge(&notice, later, &settings);
    assert!(is_quarantined(&there, later));
    let end = start + Duration::from_secs(601);
    assert!(!is_quarantined(&there, end));
}
