//! What a check of a file has found.

use config::Review;
use findings::{Finding, Findings};

use super::Difference;
use crate::{Exit, console};

units::record! {
    /// What a check of a file has found.
    #[derive(serde::Serialize)]
    pub struct Checked {
        /// Why the system would refuse the file.
        pub errors: Vec<Finding>,
        /// Entries that no request would ever reach.
        pub unreachable: Vec<Finding>,
        /// Limits that contradict each other.
        pub contradictory: Vec<Finding>,
        /// What differs from the version in force.
        pub difference: Difference,
    }
}

impl Checked {
    /// The check of a file that the system would accept.
    #[must_use]
    pub fn valid(review: &Review, difference: Difference) -> Self {
        Self {
            errors: Vec::new(),
            unreachable: review.unreachable.as_slice().to_vec(),
            contradictory: review.contradictory.as_slice().to_vec(),
            difference,
        }
    }

    /// The check of a file that the system would refuse.
    #[must_use]
    pub fn invalid(errors: &Findings, difference: Difference) -> Self {
        Self {
            errors: errors.as_slice().to_vec(),
            unreachable: Vec::new(),
            contradictory: Vec::new(),
            difference,
        }
    }

    /// The exit code that tells errors from warnings.
    #[must_use]
    pub fn exit(&self) -> Exit {
        let has_warnings = !self.unreachable.is_empty() || !self.contradictory.is_empty();
        match (self.errors.is_empty(), has_warnings) {
            (false, _) => Exit::Failed,
            (true, true) => Exit::Warned,
            (true, false) => Exit::Done,
        }
    }
}

impl console::Show for Checked {
    fn table(&self) -> String {
        let sections = [
            ("error", &self.errors),
            ("never matches", &self.unreachable),
            ("contradiction", &self.contradictory),
        ];
        let mut lines = Vec::new();
        for (title, findings) in sections {
            lines.extend(findings.iter().map(|finding| format!("{title}: {finding}")));
        }
        if lines.is_empty() {
            lines.push("no problem was found".to_owned());
        }
        lines.push(self.difference.table());
        lines.join("\n")
    }
}
