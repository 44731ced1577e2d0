//! Wall-clock time.

use std::fmt;
use std::str;
use std::time;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Wall-clock time in milliseconds since the Unix epoch.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    schemars::JsonSchema,
)]
pub struct Wall(pub u64);

impl Wall {
    /// The current time; the epoch where the clock stands before it.
    #[must_use]
    pub fn now() -> Self {
        let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let millis = since.map_or(0, |elapsed| elapsed.as_millis());
        Self(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// Time from `earlier` to this one; zero where it is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// This time plus `duration`.
    #[must_use]
    pub fn after(self, duration: time::Duration) -> Self {
        let millis = crate::millis(duration);
        Self(self.0.saturating_add(millis))
    }
}

impl fmt::Display for Wall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let instant = time::UNIX_EPOCH + time::Duration::from_millis(self.0);
        write!(formatter, "{}", humantime::format_rfc3339_millis(instant))
    }
}

impl str::FromStr for Wall {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let refused = || Error::new(text, "a time such as 2026-12-03T22:00:00Z");
        let instant = humantime::parse_rfc3339(text).map_err(|_| refused())?;
        let since = instant
            .duration_since(time::UNIX_EPOCH)
            .map_err(|_| refused())?;
        let millis = u64::try_from(since.as_millis()).map_err(|_| refused())?;
        Ok(Self(millis))
    }
}
