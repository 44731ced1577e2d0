//! Tests of the draw with withheld versions, whose traffic goes to the others.

use config::{Service, Weight};

/// Name of the case, weights in percent, withheld versions and the expected version.
type Case = (
    &'static str,
    &'static [(&'static str, u32)],
    &'static [&'static str],
    Option<&'static str>,
);

fn service(weights: &[(&str, u32)]) -> Service {
    let weight = |(version, percent): &(&str, u32)| Weight {
        version: (*version).into(),
        share: units::Share::from_parts(percent * 100).expect("a share"),
    };
    Service {
        name: "menus".into(),
        weights: weights.iter().map(weight).collect(),
        revision: units::Version::default(),
        ..Service::default()
    }
}

#[test]
fn draw_withheld_cases() {
    let cases: [Case; 5] = [
        (
            "small share withheld",
            &[("v1", 95), ("v2", 5)],
            &["v2"],
            Some("v1"),
        ),
        (
            "full share withheld",
            &[("v1", 0), ("v2", 100)],
            &["v2"],
            Some("v1"),
        ),
        (
            "nothing withheld",
            &[("v1", 0), ("v2", 100)],
            &[],
            Some("v2"),
        ),
        (
            "all withheld",
            &[("v1", 50), ("v2", 50)],
            &["v1", "v2"],
            None,
        ),
        ("only version withheld", &[("v1", 100)], &["v1"], None),
    ];
    for (name, weights, withheld, expected) in cases {
        let service = service(weights);
        let is_allowed = |version: &str| !withheld.contains(&version);
        for point in [0.0, 0.5, 0.999] {
            let drawn = routing::draw(&service, point, is_allowed);
            let drawn = drawn.map(|weight| weight.version.as_str());
            assert_eq!(drawn, expected, "{name} at {point}");
        }
    }
}
