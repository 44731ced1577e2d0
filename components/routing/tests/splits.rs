//! Tests of the traffic split of services whose versions the configuration does not list.

use compact_str::CompactString;
use routing::{Draw, Splits, Trial};

fn versions(names: &[&str]) -> Vec<CompactString> {
    names
        .iter()
        .map(|name| CompactString::from(*name))
        .collect()
}

fn known() -> Splits {
    let splits = Splits::default();
    splits.set_moves_known();
    splits
}

fn trial(share: f64) -> Trial {
    Trial {
        version: "v2".into(),
        share,
    }
}

#[test]
fn draw_before_moves_are_known() {
    let splits = Splits::default();
    splits.update_ready("menus", &versions(&["v1"]), &[], |_| true);
    assert_eq!(splits.draw("menus", 0.5), Draw::Unknown);
    splits.set_moves_known();
    splits.update_ready("menus", &versions(&["v1"]), &[], |_| true);
    let drawn = splits.draw("menus", 0.5);
    assert_eq!(drawn, Draw::Established(versions(&["v1"])));
}

#[test]
fn draw_version_without_a_move() {
    let splits = known();
    splits.update_ready("menus", &versions(&["v1"]), &[], |_| true);
    splits.update_ready("menus", &versions(&["v1", "v2"]), &[], |_| true);
    let drawn = splits.draw("menus", 0.0);
    assert_eq!(drawn, Draw::Established(versions(&["v1"])));
    // No established version is left, and no move has taken the new one back.
    splits.update_ready("menus", &versions(&["v2"]), &[], |_| true);
    let drawn = splits.draw("menus", 0.0);
    assert_eq!(drawn, Draw::Established(versions(&["v2"])));
}

#[test]
fn draw_version_that_was_taken_back() {
    let splits = known();
    splits.update_ready("menus", &versions(&["v1"]), &[], |_| true);
    splits.update_ready("menus", &versions(&["v2"]), &[], |version| version != "v2");
    let drawn = splits.draw("menus", 0.0);
    assert_eq!(drawn, Draw::Established(versions(&["v1"])));
}

#[test]
fn draw_during_a_move() {
    let splits = known();
    splits.update_ready("menus", &versions(&["v1"]), &[], |_| true);
    for (share, point, takes_over) in [(0.1, 0.2, false), (0.1, 0.05, false), (0.6, 0.7, true)] {
        splits.set_trial("menus", Some(trial(share)));
        let expected = if point < share {
            Draw::Trial("v2".into())
        } else {
            Draw::Others {
                trial: "v2".into(),
                takes_over,
            }
        };
        assert_eq!(splits.draw("menus", point), expected, "{share} {point}");
    }
    splits.set_trial("menus", None);
    let drawn = splits.draw("menus", 0.0);
    assert_eq!(drawn, Draw::Established(versions(&["v1"])));
    splits.establish("menus", "v2");
    let drawn = splits.draw("menus", 0.0);
    assert_eq!(drawn, Draw::Established(versions(&["v2"])));
}

#[test]
fn draw_at_a_node_that_starts_with_a_new_version() {
    let cases: [(&[&str], &[&str], &[&str]); 4] = [
        // Versions that are ready, ready elsewhere and established.
        (&["v1", "v2"], &["v1"], &["v1"]),
        (&["v1", "v2"], &["v1", "v2"], &["v1", "v2"]),
        (&["v2"], &[], &["v2"]),
        (&["v1"], &["v1"], &["v1"]),
    ];
    for (ready, elsewhere, established) in cases {
        let splits = known();
        splits.update_ready("menus", &versions(ready), &versions(elsewhere), |_| true);
        let drawn = splits.draw("menus", 0.0);
        assert_eq!(drawn, Draw::Established(versions(established)), "{ready:?}");
    }
}

/// A change counts where the version on trial is another, not where its share is.
#[test]
fn changes_without_shares() {
    let splits = Splits::default();
    let mut seen = splits.changes();
    let mut has_changed = |splits: &Splits| {
        let changes = splits.changes();
        std::mem::replace(&mut seen, changes) != changes
    };
    splits.set_moves_known();
    assert!(has_changed(&splits), "moves are known");
    splits.set_moves_known();
    assert!(!has_changed(&splits), "they were before");
    for (name, share, expected) in [("begins", 0.0, true), ("goes on", 0.5, false)] {
        splits.set_trial("menus", Some(trial(share)));
        assert_eq!(has_changed(&splits), expected, "a trial {name}");
    }
    splits.set_trial("menus", None);
    assert!(has_changed(&splits), "a trial ends");
    splits.establish("menus", "v2");
    assert!(has_changed(&splits), "a version is established");
    splits.update_ready("menus", &versions(&["v3"]), &[], |_| true);
    assert!(!has_changed(&splits), "members are no move");
}
