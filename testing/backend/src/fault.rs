//! Faults that the stand-in shows.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

units::record! {
    /// Everything that is wrong with a backend server at the moment.
    #[derive(Default, Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields, default)]
    pub struct Faults {
        /// How its version is bad.
        pub bad: Option<Bad>,
        /// What it announces about its health.
        pub health: Health,
        /// What it announces about its load.
        pub load: Load,
        /// Age of the health and load that it announces.
        pub lag: units::Period,
        /// Whether it announces nothing.
        pub silent: bool,
        /// Requests a second that it names in its answers.
        #[schemars(with = "Option<String>")]
        pub rate_limit: Option<units::Rate>,
        /// Path prefix whose requests crash it, next to those with the header `x-crash: 1`.
        #[schemars(with = "Option<String>")]
        pub crash_path: Option<CompactString>,
    }

    /// How a version is bad.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields)]
    pub struct Bad {
        /// What happens to the requests that it concerns.
        pub effect: Effect,
        /// When it shows.
        #[serde(default)]
        pub onset: Onset,
        /// `late`: time from the setting of the fault until it shows.
        #[serde(default)]
        pub after: units::Period,
        /// `under_load`: share of the slots in use above which it shows.
        #[serde(default = "default_above")]
        pub above: units::Share,
        /// Path prefix of the one route on which it shows; without it on all.
        #[serde(default)]
        #[schemars(with = "Option<String>")]
        pub on_route: Option<CompactString>,
        /// Share of the requests that it concerns.
        #[serde(default = "default_share")]
        pub share: units::Share,
        /// `slow`: what a request takes longer.
        #[serde(default = "default_slow_by")]
        pub slow_by: units::Period,
    }
}

/// What a fault does to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// It is run and answered with status 500.
    Fail,
    /// It takes longer.
    Slow,
    /// Its answer breaks off half way.
    Truncate,
    /// It crashes the process.
    Crash,
}

/// When a fault shows.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Onset {
    /// From the first request on.
    #[default]
    AtOnce,
    /// After a time.
    Late,
    /// While many slots are in use.
    UnderLoad,
}

/// What is announced about health.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Unhealthy while a bad version shows.
    #[default]
    Truthful,
    /// Always healthy.
    Healthy,
    /// Always unhealthy.
    Unhealthy,
}

/// What is announced about load.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Load {
    /// Slots in use.
    #[default]
    Truthful,
    /// Always idle.
    Idle,
    /// Always full.
    Full,
}

fn default_above() -> units::Share {
    units::Share::from_parts(5_000).unwrap_or_default()
}

fn default_share() -> units::Share {
    units::Share::WHOLE
}

fn default_slow_by() -> units::Period {
    units::Period::from_millis(500)
}

impl Faults {
    /// Adds to `findings` what no fault can be; `place` is the JSON pointer of the faults.
    pub fn check(&self, place: &str, findings: &mut settings::Findings) {
        let prefixes = [
            ("crash_path", self.crash_path.as_ref()),
            (
                "bad/on_route",
                self.bad.as_ref().and_then(|bad| bad.on_route.as_ref()),
            ),
        ];
        for (key, prefix) in prefixes {
            let Some(prefix) = prefix else { continue };
            if !prefix.starts_with('/') {
                let problem = format!("`{prefix}` is not a path");
                findings.add(
                    format!("{place}/{key}"),
                    problem,
                    "a path that starts with `/`",
                );
            }
        }
    }

    /// Whether a request to `path` crashes the process.
    #[must_use]
    pub fn crashes(&self, path: &str) -> bool {
        let prefix = self.crash_path.as_ref();
        prefix.is_some_and(|prefix| path.starts_with(prefix.as_str()))
    }
}

impl Bad {
    /// Whether the fault shows `elapsed` after its setting with this part of the slots in use.
    #[must_use]
    pub fn shows(&self, elapsed: std::time::Duration, used: f64) -> bool {
        match self.onset {
            Onset::AtOnce => true,
            Onset::Late => elapsed >= self.after.0,
            Onset::UnderLoad => used > self.above.as_fraction(),
        }
    }

    /// Whether it concerns requests to `path`.
    #[must_use]
    pub fn concerns(&self, path: &str) -> bool {
        let prefix = self.on_route.as_ref();
        prefix.is_none_or(|prefix| path.starts_with(prefix.as_str()))
    }
}
