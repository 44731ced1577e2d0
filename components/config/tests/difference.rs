//! Differences between two configurations.

use config::{Difference, Service, Snapshot};

fn snapshot(names: &[(&str, u32)]) -> Snapshot {
    let services = names.iter().map(|(name, connections)| Service {
        name: (*name).into(),
        connections: *connections,
        ..Service::default()
    });
    let snapshot = Snapshot::whole(units::Version(1), services.collect(), Vec::new());
    snapshot.expect("the services are valid")
}

#[test]
fn between_added_removed_changed() {
    let old = snapshot(&[("kept", 1), ("raised", 1), ("removed", 1)]);
    let new = snapshot(&[("added", 1), ("kept", 1), ("raised", 2)]);
    let found = Difference::between(&old, &new);
    let lines: Vec<_> = found.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        ["+ service added", "~ service raised", "- service removed"]
    );
}

#[test]
fn between_equal() {
    let one = snapshot(&[("kept", 1)]);
    assert!(Difference::between(&one, &one.clone()).is_empty());
}
