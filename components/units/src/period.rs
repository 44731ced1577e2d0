//! Length of time with its unit.

use std::fmt;
use std::str;
use std::time;

use crate::Error;

/// Length of time, written with its unit, such as `250ms` or `2s`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Period(pub time::Duration);

/// Whole milliseconds of a time, for a message or a log line.
#[must_use]
pub fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Period {
    /// A period of whole milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(time::Duration::from_millis(millis))
    }

    /// A period of whole seconds.
    #[must_use]
    pub const fn from_secs(seconds: u64) -> Self {
        Self(time::Duration::from_secs(seconds))
    }

    /// The period in whole milliseconds.
    #[must_use]
    pub fn as_millis(self) -> u64 {
        millis(self.0)
    }
}

impl fmt::Display for Period {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = humantime::format_duration(self.0).to_string();
        formatter.write_str(&text.replace(' ', ""))
    }
}

impl str::FromStr for Period {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let duration = humantime::parse_duration(text);
        duration
            .map(Self)
            .map_err(|_| Error::new(text, "a period with its unit, such as `250ms` or `2s`"))
    }
}

crate::record::textual!(
    Period,
    "a period with its unit, such as `250ms` or `2s`",
    "^([0-9]+ *(ns|us|ms|s|sec|m|min|h|d) *)+$"
);
