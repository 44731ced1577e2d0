//! Settings of a node are checked whole, and their reference is current.

use node::settings::Settings;

const RIGHT: &str = r#"{
    "node": "n1", "data_centre": "lautoka", "region": "fiji-west",
    "callers": "127.0.1.1:8000", "mesh": "127.0.1.1:7401", "peer": "127.0.1.1:7402",
    "operator": "127.0.1.1:7403", "announce": "127.0.1.1:7404", "admin": "127.0.1.1:7405",
    "platform": "127.0.0.10:7300", "operator_token": "a-long-token"
}"#;

#[test]
fn parse_defaults() {
    let settings: Settings = settings::parse(RIGHT).expect("it is right");
    assert_eq!(settings.token(), "a-long-token");
}

#[test]
fn parse_fault_cases() {
    let cases = [
        (
            "shared address",
            "127.0.1.1:7401",
            "127.0.1.1:8000",
            "/mesh",
        ),
        (
            "address without IP",
            "127.0.1.1:7402",
            "0.0.0.0:7402",
            "/peer",
        ),
        ("short token", "a-long-token", "short", "/operator_token"),
        ("bad address", "127.0.1.1:7405", "localhost:7405", "/admin"),
        ("bad name", "\"n1\"", "\"n 1\"", "/node"),
    ];
    for (name, right, wrong, place) in cases {
        let text = RIGHT.replace(right, wrong);
        let findings = settings::parse::<Settings>(&text).expect_err(name);
        let places: Vec<_> = findings.as_slice().iter().map(|one| &one.place).collect();
        assert!(places.iter().any(|one| *one == place), "{name}: {places:?}");
    }
}

#[test]
fn reference_current() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/SETTINGS.md");
    let written = std::fs::read_to_string(page).expect("the page is there");
    assert_eq!(
        written,
        Settings::reference(),
        "run the example `reference`"
    );
}
