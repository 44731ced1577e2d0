//! Reference of settings as a Markdown table.

use std::fmt::Write;

use crate::load;

/// The settings of `T` as rows of a Markdown table: place, kind, default and meaning.
#[must_use]
pub fn reference<T: schemars::JsonSchema>() -> String {
    let schema = load::schema::<T>();
    let mut table = String::from("| setting | kind | default | meaning |\n|---|---|---|---|\n");
    write_rows(&schema, "", &mut table);
    table
}

fn write_rows(schema: &serde_json::Value, place: &str, table: &mut String) {
    let Some(properties) = schema.get("properties").and_then(|one| one.as_object()) else {
        return;
    };
    for (name, property) in properties {
        let place = format!("{place}/{name}");
        let kind = text_of(property, "type");
        let default = property.get("default").map(ToString::to_string);
        let default = default.unwrap_or_else(|| "required".to_owned());
        let meaning = text_of(property, "description").replace('\n', " ");
        if property.get("properties").is_some() {
            write_rows(property, &place, table);
        } else {
            // Writing to a string cannot fail.
            let _ = writeln!(table, "| `{place}` | {kind} | `{default}` | {meaning} |");
        }
    }
}

fn text_of(schema: &serde_json::Value, key: &str) -> String {
    match schema.get(key) {
        Some(serde_json::Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
        None => "value".to_owned(),
    }
}
