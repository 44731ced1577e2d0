//! Tests of the choice of a version.

use config::{Service, Weight};
use routing::{draw, fall_back};

fn service(weights: Weights) -> Service {
    let weights = weights.iter().map(|(version, parts)| Weight {
        version: (*version).into(),
        share: units::Share::from_parts(*parts).expect("a share"),
    });
    Service {
        name: "menus".into(),
        weights: weights.collect(),
        revision: units::Version::default(),
        ..Service::default()
    }
}

type Weights<'w> = &'w [(&'w str, u32)];

#[test]
fn draw_by_share() {
    let two: Weights = &[("v1", 9_900), ("v2", 100)];
    let cases: [(Weights, f64, &str, Option<&str>); 9] = [
        (two, 0.0, "", Some("v1")),
        (two, 0.9899, "", Some("v1")),
        (two, 0.9901, "", Some("v2")),
        (two, 0.999_999, "", Some("v2")),
        (two, 0.9999, "v2", Some("v1")),
        (two, 0.5, "v1", Some("v2")),
        (&[("v1", 10_000)], 0.5, "v1", None),
        (&[("v1", 0), ("v2", 10_000)], 0.0, "", Some("v2")),
        (&[("v1", 10_000), ("v2", 0)], 1.0, "", Some("v1")),
    ];
    for (weights, point, withheld, expected) in cases {
        let service = service(weights);
        let drawn = draw(&service, point, |version| version != withheld);
        let drawn = drawn.map(|weight| weight.version.as_str());
        assert_eq!(drawn, expected, "{weights:?} at {point} without {withheld}");
    }
}

#[test]
fn fall_back_never_to_smaller_share() {
    let cases = [
        ("v1", 9_900, "v2", 100, "v1", None),
        ("v1", 9_900, "v2", 100, "v2", Some("v1")),
        ("v1", 5_000, "v2", 5_000, "v1", Some("v2")),
    ];
    for (first, first_parts, second, second_parts, drawn, expected) in cases {
        let service = service(&[(first, first_parts), (second, second_parts)]);
        let weight = service.weight(drawn).expect("a weight");
        let fallback = fall_back(&service, weight, |_| true);
        assert_eq!(
            fallback.map(|weight| weight.version.as_str()),
            expected,
            "{drawn}"
        );
    }
}
