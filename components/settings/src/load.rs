//! Loads and checks a settings file.

use std::fs;
use std::io;
use std::path;

use compact_str::{CompactString, ToCompactString};
use error_stack::Report;
use findings::Findings;
use jsonschema::error as kind;
use schemars::generate;

/// The settings of a program.
pub trait Document: serde::de::DeserializeOwned + schemars::JsonSchema {
    /// Adds to `findings` what the schema alone cannot see.
    fn check(&self, findings: &mut Findings);
}

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read the settings file {file}: {cause}")]
    Unreadable {
        /// The file.
        file: CompactString,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// The file is wrong in these places, of which the first stands on the first line.
    #[error("the settings file {file} is wrong: {findings}")]
    Invalid {
        /// The file.
        file: CompactString,
        /// What is wrong in it.
        findings: Findings,
    },
}

/// Loads and checks the settings file at `path`.
///
/// # Errors
/// [`Error::Unreadable`], or [`Error::Invalid`] with every finding.
pub fn load<T: Document>(path: &path::Path) -> Result<T, Report<Error>> {
    let file = path.display().to_compact_string();
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(cause) => return Err(Report::new(Error::Unreadable { file, cause })),
    };
    parse(&text).map_err(|findings| Report::new(Error::Invalid { file, findings }))
}

/// Parses and checks the text of a settings file.
///
/// # Errors
/// Every finding, with JSON pointers into the text.
pub fn parse<T: Document>(text: &str) -> Result<T, Findings> {
    let mut findings = Findings::default();
    let value: serde_json::Value = match serde_json::from_str(text) {
        Ok(value) => value,
        Err(error) => {
            findings.add("", error.to_compact_string(), "a JSON document");
            return Err(findings);
        }
    };
    let read = T::deserialize(&value);
    if read.is_err() || !is_in_range(&schema::<T>(), &value) {
        check_schema::<T>(&value, &mut findings);
        if !findings.is_empty() {
            return Err(findings);
        }
    }
    match read {
        Ok(document) => {
            document.check(&mut findings);
            findings.into_result(document)
        }
        Err(error) => {
            findings.add("", error.to_compact_string(), "values within their ranges");
            Err(findings)
        }
    }
}

/// Whether the numbers in `value` are within the bounds of `schema`.
///
/// Types, units and unknown keys are the deserializer's, so that settings that are right are loaded
/// without compiling the schema, which takes 38 MB for the settings of a node and keeps them.
fn is_in_range(schema: &serde_json::Value, value: &serde_json::Value) -> bool {
    if let Some(number) = value.as_f64() {
        let bound = |key| schema.get(key).and_then(serde_json::Value::as_f64);
        let least = bound("minimum").unwrap_or(f64::MIN);
        let most = bound("maximum").unwrap_or(f64::MAX);
        return (least..=most).contains(&number);
    }
    let Some(fields) = value.as_object() else {
        return true;
    };
    fields.iter().all(|(key, field)| {
        let property = schema.get("properties").and_then(|all| all.get(key));
        property.is_none_or(|property| is_in_range(property, field))
    })
}

/// The JSON schema of `T`, with all definitions in line.
pub(crate) fn schema<T: schemars::JsonSchema>() -> serde_json::Value {
    let settings = generate::SchemaSettings::draft2020_12().with(|settings| {
        settings.inline_subschemas = true;
    });
    settings.into_generator().into_root_schema_for::<T>().into()
}

fn check_schema<T: schemars::JsonSchema>(value: &serde_json::Value, findings: &mut Findings) {
    let schema = schema::<T>();
    let validator = match jsonschema::validator_for(&schema) {
        Ok(validator) => validator,
        Err(error) => {
            findings.add("", error.to_compact_string(), "a usable schema");
            return;
        }
    };
    for error in validator.iter_errors(value) {
        add(&schema, &error, findings);
    }
}

/// Adds one schema error; unknown keys become a finding each.
fn add(
    schema: &serde_json::Value,
    error: &jsonschema::ValidationError<'_>,
    findings: &mut Findings,
) {
    let place = error.instance_path.as_str();
    let node = violated(schema, error);
    if let kind::ValidationErrorKind::AdditionalProperties { unexpected } = &error.kind {
        let expected = format!("only the keys {}", known_keys(node));
        for key in unexpected {
            findings.add(format!("{place}/{key}"), "unknown key", expected.as_str());
        }
        return;
    }
    let expected = ["x-expected", "description"]
        .iter()
        .find_map(|key| node.and_then(|node| node.get(key)))
        .and_then(serde_json::Value::as_str)
        .unwrap_or("a value that fits the schema");
    findings.add(place, problem(error), expected);
}

fn problem(error: &jsonschema::ValidationError<'_>) -> CompactString {
    match &error.kind {
        kind::ValidationErrorKind::Pattern { .. } => {
            compact_str::format_compact!("wrong value {}", error.instance)
        }
        _ => error.to_compact_string(),
    }
}

/// The schema node whose keyword `error` violates.
fn violated<'s>(
    schema: &'s serde_json::Value,
    error: &jsonschema::ValidationError<'_>,
) -> Option<&'s serde_json::Value> {
    let path = error.schema_path.as_str();
    let parent = path.rsplit_once('/').map_or("", |(parent, _)| parent);
    schema.pointer(parent)
}

fn known_keys(node: Option<&serde_json::Value>) -> String {
    let properties = node.and_then(|node| node.get("properties"));
    let Some(properties) = properties.and_then(serde_json::Value::as_object) else {
        return String::new();
    };
    let names: Vec<_> = properties.keys().map(String::as_str).collect();
    names.join(", ")
}
