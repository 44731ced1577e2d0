//! Problems found in a document, collected with their place and reported together.

use std::fmt;

use compact_str::CompactString;

units::record! { eq:
    /// A problem with its place and what would be right.
    #[derive(serde::Serialize)]
    pub struct Finding {
        /// JSON pointer into the checked document, such as `/routes/2/service`.
        pub place: CompactString,
        /// What is wrong.
        pub problem: CompactString,
        /// What would be right.
        pub expected: CompactString,
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.place.is_empty() {
            write!(formatter, "{}: ", self.place)?;
        }
        write!(formatter, "{}; expected {}", self.problem, self.expected)
    }
}

/// All problems of one document, in the order of their discovery.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// Adds a problem.
    pub fn add(
        &mut self,
        place: impl Into<CompactString>,
        problem: impl Into<CompactString>,
        expected: impl Into<CompactString>,
    ) {
        self.list.push(Finding {
            place: place.into(),
            problem: problem.into(),
            expected: expected.into(),
        });
    }

    /// Whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The problems.
    #[must_use]
    pub fn as_slice(&self) -> &[Finding] {
        &self.list
    }

    /// `value` when nothing was found.
    ///
    /// # Errors
    /// The findings, when there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.list.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.list.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            finding.fmt(formatter)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
