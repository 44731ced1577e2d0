//! Tests of the checks of the settings.

use findings::Findings;
use relay::Settings;

#[test]
fn check_cases() {
    let rate = |reads| Settings {
        reads: units::Rate(reads),
        ..Settings::default()
    };
    let cases = [
        ("defaults", Settings::default(), true),
        ("one call a second", rate(1.0), true),
        ("too few calls to spread", rate(1e-300), false),
        ("no calls", rate(0.0), false),
    ];
    for (name, settings, is_valid) in cases {
        let mut findings = Findings::default();
        settings.check("/relay", &mut findings);
        assert_eq!(findings.into_result(()).is_ok(), is_valid, "{name}");
    }
}
