//! Every problem of a settings file is reported at once, with its place.

use settings::{Document, Findings};

#[derive(Debug, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
struct Sample {
    /// Where it listens.
    listen: units::Address,
    /// How long it waits.
    #[serde(default = "default_wait")]
    wait: units::Period,
}

fn default_wait() -> units::Period {
    units::Period::from_secs(2)
}

impl Document for Sample {
    fn check(&self, findings: &mut Findings) {
        if self.wait.as_millis() == 0 {
            findings.add("/wait", "no wait", "a wait above zero");
        }
    }
}

#[test]
fn parse_defaults() {
    let sample: Sample = settings::parse(r#"{"listen": "127.0.0.1:80"}"#).expect("it is valid");
    assert_eq!(sample.wait, default_wait());
    assert_eq!(sample.listen.to_string(), "127.0.0.1:80");
}

#[test]
fn parse_all_findings() {
    let text = r#"{"listen": "localhost", "wait": "2 bananas", "colour": 3}"#;
    let findings = settings::parse::<Sample>(text).expect_err("it is wrong");
    insta::assert_snapshot!(findings);
}

#[derive(Debug, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
struct Bounded {
    /// Settings of a part.
    part: Part,
}

#[derive(Debug, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
struct Part {
    /// How many.
    #[schemars(range(min = 1, max = 16))]
    count: u32,
}

impl Document for Bounded {
    fn check(&self, _: &mut Findings) {}
}

#[test]
fn parse_numbers_in_range() {
    for (count, right) in [(0, false), (1, true), (16, true), (17, false)] {
        let text = format!(r#"{{"part": {{"count": {count}}}}}"#);
        let parsed = settings::parse::<Bounded>(&text);
        assert_eq!(parsed.is_ok(), right, "{count}");
        match parsed {
            Ok(bounded) => assert_eq!(bounded.part.count, count),
            Err(findings) => assert_eq!(findings.as_slice()[0].place, "/part/count"),
        }
    }
}

#[test]
fn parse_fault_cases() {
    for (name, text, place) in [
        ("not JSON", "{", ""),
        ("missing key", "{}", ""),
        (
            "impossible value",
            r#"{"listen": "127.0.0.1:80", "wait": "0s"}"#,
            "/wait",
        ),
        ("bad port", r#"{"listen": "127.0.0.1:99999"}"#, ""),
    ] {
        let findings = settings::parse::<Sample>(text).expect_err(name);
        assert_eq!(findings.as_slice()[0].place, place, "{name}: {findings}");
    }
}

/// Guards against a program that ends without a word of where its settings are wrong.
#[test]
fn load_wrong_file_tells_place_on_first_line() {
    for (name, text, place) in [
        ("not-json", "{\n  \"wait\": {{2}}\n}", "line 2 column 12"),
        (
            "one-wrong",
            r#"{"listen": "127.0.0.1:80", "wait": "0s"}"#,
            "/wait: ",
        ),
        (
            "two-wrong",
            r#"{"listen": "here", "wait": "0s"}"#,
            "/listen: ",
        ),
    ] {
        let file = format!("{}/{name}.json", env!("CARGO_TARGET_TMPDIR"));
        std::fs::write(&file, text).expect("it is written");
        let report = settings::load::<Sample>(file.as_ref()).expect_err(name);
        let told = report.current_context().to_string();
        let first = told.lines().next().unwrap_or_default();
        assert!(first.contains(&file) && first.contains(place), "{told}");
    }
}

#[test]
fn load_missing_file_tells_cause() {
    let report = settings::load::<Sample>("/nowhere.json".as_ref()).expect_err("no file");
    let told = report.current_context().to_string();
    assert!(told.contains("/nowhere.json: No such file"), "{told}");
}

#[test]
fn reference_rows() {
    insta::assert_snapshot!(settings::reference::<Sample>());
}
