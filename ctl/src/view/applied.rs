//! What became of an operation.

use schema::operator as wire;

use crate::console;

units::record! {
    /// What became of an operation.
    #[derive(serde::Serialize)]
    pub struct Applied {
        /// The outcome: `accepted`, `valid`, `missing` and so on.
        pub outcome: &'static str,
        /// Id of the operation.
        pub operation: String,
        /// Version at which it took effect; zero where it did not.
        pub version: u64,
        /// What is wrong, with JSON pointers into the file.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub findings: Vec<findings::Finding>,
    }
}

impl Applied {
    /// The name of an outcome.
    #[must_use]
    pub fn name(outcome: wire::apply_reply::Outcome) -> &'static str {
        use wire::apply_reply::Outcome;
        match outcome {
            Outcome::Accepted => "accepted",
            Outcome::Refused => "refused",
            Outcome::Conflict => "conflict",
            Outcome::Valid => "valid",
            Outcome::Unavailable => "unavailable",
            Outcome::Missing => "missing",
            Outcome::Unknown | Outcome::Unspecified => "unknown",
        }
    }

    fn meaning(&self) -> &'static str {
        match self.outcome {
            "accepted" => "it is in the log",
            "refused" => "it is invalid; nothing has changed",
            "conflict" => "a resource has changed meanwhile; nothing was applied",
            "valid" => "no problem was found; nothing was applied",
            "unavailable" => "the platform cannot be reached; nothing was sent",
            "missing" => "the log holds no such operation",
            _ => "it may be in the log; ask `radishgapctl operation`",
        }
    }
}

impl console::Show for Applied {
    fn table(&self) -> String {
        let mut lines = vec![format!("{}: {}", self.outcome, self.meaning())];
        if self.version > 0 {
            lines.push(format!("version    {}", self.version));
        }
        lines.push(format!("operation  {}", self.operation));
        lines.extend(self.findings.iter().map(ToString::to_string));
        lines.join("\n")
    }
}
