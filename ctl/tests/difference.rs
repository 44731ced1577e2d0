//! Differences between a file and what a node holds.

use radishgapctl::document::Document;
use radishgapctl::view::Difference;

fn document(service: &str, route: &str) -> Document {
    let text = format!(
        r#"{{"services": [
            {{"name": "a", "weights": [{{"version": "v1", "share": "100%"}}]{service}}},
            {{"name": "b", "weights": [{{"version": "v1", "share": "100%"}}]}}],
            "routes": [{{"name": "r", "path_prefix": "/r/", "service": "a"{route}}}]}}"#
    );
    settings::parse(&text).expect("it is valid")
}

#[test]
fn between_finds_a_change_of_each_field() {
    let held = document("", "").change("op-1".parse().expect("it is an id"));
    let held = config::Snapshot::default().apply_all(&[held]);
    let held = held.expect("it is accepted");
    assert!(Difference::between(&document("", ""), &held).is_empty());
    let services = [
        r#", "connections": 5"#,
        r#", "health_path": "/health""#,
        r#", "warmup_rate": "13/s""#,
        r#", "warmup": "3s""#,
    ];
    let routes = [
        r#", "attempts": 2"#,
        r#", "target": "1s""#,
        r#", "priority": 1"#,
        r#", "split": [{"service": "a", "weight": 1}, {"service": "b", "weight": 2}]"#,
        r#", "public": true"#,
        r#", "homes": ["north"]"#,
    ];
    for field in services {
        let found = Difference::between(&document(field, ""), &held);
        assert_eq!(found.lines.len(), 1, "{field}");
    }
    for field in routes {
        let found = Difference::between(&document("", field), &held);
        assert_eq!(found.lines.len(), 1, "{field}");
    }
}
