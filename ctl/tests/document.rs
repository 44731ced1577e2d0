//! The applied file is checked whole before anything is sent.

use radishgapctl::document::Document;

const FILE: &str = r#"{
  "services": [
    {"name": "bookdesk", "weights": [{"version": "v1", "share": "100%"}]},
    {"name": "menus", "weights": [{"version": "v1", "share": "99%"}, {"version": "v2", "share": "1%"}], "revision": 7}
  ],
  "routes": [{"name": "book", "path_prefix": "/book", "service": "bookdesk"}],
  "remove": {"services": ["old"], "routes": ["older"]}
}"#;

#[test]
fn parse_all_findings() {
    let text = r#"{
      "services": [
        {"name": "a b", "weights": [{"version": "v1", "share": "60%"}]},
        {"name": "menus", "weights": [{"version": "v1", "share": "100%"}]},
        {"name": "menus", "weights": []}
      ],
      "routes": [{"name": "r", "path_prefix": "book", "service": "menus", "timeout": "0s"}]
    }"#;
    let findings = settings::parse::<Document>(text).expect_err("it is wrong");
    insta::assert_snapshot!(findings);
}

#[test]
fn parse_shape_findings() {
    let text = r#"{"services": [{"name": "menus", "weight": [], "weights": [{"version": "v1", "share": "lots"}]}], "rooutes": []}"#;
    let findings = settings::parse::<Document>(text).expect_err("it is wrong");
    insta::assert_snapshot!(findings);
}

#[test]
fn change_expected_revisions() {
    let document: Document = settings::parse(FILE).expect("it is valid");
    let operation = "op-1".parse().expect("it is an id");
    insta::assert_debug_snapshot!(document.change(operation));
}

#[test]
fn locate_places_of_the_change() {
    let document: Document = settings::parse(FILE).expect("it is valid");
    for (place, expected) in [
        (
            "/puts/0/service/weights/0/share",
            "/services/0/weights/0/share",
        ),
        ("/puts/1/service", "/services/1"),
        ("/puts/2/route/service", "/routes/0/service"),
        ("/removes/0", "/remove/services/0"),
        ("/removes/1", "/remove/routes/0"),
        ("/routes/book/service", "/routes/book/service"),
        ("", ""),
    ] {
        let found = schema::config::Finding {
            place: place.to_owned(),
            ..Default::default()
        };
        let findings = document.locate(&[found]);
        assert_eq!(findings.as_slice()[0].place, expected, "{place}");
    }
}
