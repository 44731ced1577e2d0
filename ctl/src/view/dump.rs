//! State of a node's process.

use crate::console;

/// State of a node's process; JSON in both forms of output.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
#[serde(transparent)]
pub struct Dump(pub serde_json::Value);

impl console::Show for Dump {
    fn table(&self) -> String {
        serde_json::to_string_pretty(&self.0).unwrap_or_default()
    }
}
