//! Invalid settings are reported with their JSON pointer.

use distribution::Settings;
use findings::Findings;

#[test]
fn check_fault_cases() {
    let zero = units::Period::from_millis(0);
    let defaults = Settings::default;
    for (place, settings) in [
        (
            "/distribution/watchers",
            Settings {
                watchers: 0,
                ..defaults()
            },
        ),
        (
            "/distribution/repair",
            Settings {
                repair: zero,
                ..defaults()
            },
        ),
        (
            "/distribution/checkpoint_every",
            Settings {
                checkpoint_every: 0,
                ..defaults()
            },
        ),
        (
            "/distribution/part_size",
            Settings {
                part_size: units::Size(2 * 1024 * 1024),
                ..defaults()
            },
        ),
    ] {
        let mut findings = Findings::default();
        settings.check("/distribution", &mut findings);
        let places: Vec<_> = findings.as_slice().iter().map(|one| &one.place).collect();
        assert_eq!(places, [place]);
    }
    let mut findings = Findings::default();
    defaults().check("/distribution", &mut findings);
    assert!(findings.is_empty(), "{findings}");
}
