//! Why a command did not do what was asked.

use std::path;

use findings::Findings;

use crate::Exit;

/// Why a command did not do what was asked.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// An argument is wrong.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read.
    #[error("cannot read {}: {problem}", file.display())]
    Unreadable {
        /// The file.
        file: path::PathBuf,
        /// What the operating system says.
        problem: String,
    },
    /// A file is wrong in these places.
    #[error("{}", lines(file, findings))]
    Invalid {
        /// The file.
        file: path::PathBuf,
        /// What is wrong in it.
        findings: Findings,
    },
    /// No connection, so that nothing was sent.
    #[error("cannot reach the node at {address}: {problem}; nothing was sent")]
    Unreachable {
        /// Operator address of the node.
        address: units::Address,
        /// What the operating system says.
        problem: String,
    },
    /// The node refused.
    #[error("the node refused: {0}")]
    Refused(String),
    /// The answer to a call that changes nothing was lost.
    #[error("no answer from the node: {0}")]
    Lost(String),
    /// The answer to a call that changes something was lost.
    #[error("the outcome is unknown, operation {operation}: {advice}")]
    Unknown {
        /// Id to ask about.
        operation: String,
        /// How to settle it.
        advice: String,
    },
    /// What was waited for did not come in time.
    #[error("timeout after {0}")]
    Timeout(units::Period),
}

impl Failure {
    /// The exit code that says so.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::Unreadable { .. } | Self::Invalid { .. } => Exit::Usage,
            Self::Unreachable { .. } | Self::Refused(_) | Self::Lost(_) => Exit::Failed,
            Self::Unknown { .. } => Exit::Unknown,
            Self::Timeout(_) => Exit::Timeout,
        }
    }
}

/// One line for each finding, with the file and the JSON pointer.
fn lines(file: &path::Path, findings: &Findings) -> String {
    let line = |finding: &findings::Finding| format!("{}: {finding}", file.display());
    let lines: Vec<_> = findings.as_slice().iter().map(line).collect();
    lines.join("\n")
}
