//! Settings of moves.

use findings::Findings;
use serde::{Deserialize, Serialize};

use crate::Analysis;

units::record! {
    /// Settings of moves, identical on all nodes.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields, default)]
    pub struct Settings {
        /// Successive shares of the new version; the last is the whole. A bad version harms at most
        /// the first of these shares before its badness can be detected.
        pub steps: Vec<units::Share>,
        /// Method that distinguishes badness from noise.
        pub analysis: Analysis,
        /// Accepted rate of wrong alarms: good versions judged bad, out of all moves of good versions.
        pub wrong_alarms: units::Share,
        /// Maximum ratio of the odds of failure, new to old, at which a version is not bad.
        pub failure_odds: f64,
        /// Maximum ratio of the odds of being slow, new to old, at which a version is not bad.
        pub slow_odds: f64,
        /// Multiple of the old version's 90th percentile of latency at which a request is slow.
        pub slowdown: f64,
        /// Time by which a request has to exceed the old version's 90th percentile to be slow.
        pub slack: units::Period,
        /// Interval between the reports of a node.
        pub report: units::Period,
        /// Minimum time before the first step, in which only the old version is observed.
        pub observe: units::Period,
        /// Minimum time at each step.
        pub hold: units::Period,
        /// Minimum time at the full share, in which the old version stays ready.
        pub watch: units::Period,
        /// Time before the deadline reserved for slow answers of the platform.
        pub reserve: units::Period,
        /// Time after a step, or after a backend server has started, in which latencies are ignored.
        pub warm_up: units::Period,
        /// Maximum part of the new version's slots that its share may fill.
        pub occupancy: units::Share,
        /// Minimum time between crashes of a healthy backend server.
        pub crash_interval: units::Period,
        /// Rate of failures at which the analysis `threshold` takes a version back.
        pub threshold: units::Share,
        /// Period of the leases under which runners write.
        pub lease: units::Period,
        /// Time for which ended moves are kept; the last move of each service is always kept.
        pub retention: units::Period,
    }
}

impl Default for Settings {
    fn default() -> Self {
        let steps = [200, 500, 2_500, 5_000, 9_500, 10_000];
        Self {
            steps: steps
                .into_iter()
                .filter_map(units::Share::from_parts)
                .collect(),
            analysis: Analysis::Sequential,
            wrong_alarms: units::Share::from_parts(50).unwrap_or_default(),
            failure_odds: 1.5,
            slow_odds: 1.5,
            slowdown: 1.5,
            slack: units::Period::from_millis(2),
            report: units::Period::from_millis(500),
            observe: units::Period::from_secs(2),
            hold: units::Period::from_secs(2),
            watch: units::Period::from_secs(5),
            reserve: units::Period::from_secs(3),
            warm_up: units::Period::from_secs(2),
            occupancy: units::Share::from_parts(8_000).unwrap_or_default(),
            crash_interval: units::Period::from_secs(60 * 60),
            threshold: units::Share::from_parts(500).unwrap_or_default(),
            lease: units::Period::from_secs(10),
            retention: units::Period::from_secs(24 * 60 * 60),
        }
    }
}

impl Settings {
    /// Minimum period between reports and of leases.
    const SHORTEST: units::Period = units::Period::from_millis(10);

    /// Adds a finding for each invalid setting; `pointer` is the JSON pointer of the settings.
    pub fn check(&self, pointer: &str, findings: &mut Findings) {
        let rising = self.steps.is_sorted_by(|lower, higher| lower < higher);
        let first = self.steps.first().is_some_and(|first| first.parts() > 0);
        if !rising || !first || self.steps.last() != Some(&units::Share::WHOLE) {
            let expected = "rising shares above 0% that end with 100%";
            findings.add(format!("{pointer}/steps"), "wrong steps", expected);
        }
        let alarms = self.wrong_alarms;
        if alarms == units::Share::NONE || alarms == units::Share::WHOLE {
            let problem = format!("a rate of {alarms}");
            findings.add(
                format!("{pointer}/wrong_alarms"),
                problem,
                "between 0% and 100%",
            );
        }
        self.check_ratios(pointer, findings);
        for (name, period) in [("report", self.report), ("lease", self.lease)] {
            if period < Self::SHORTEST {
                let problem = format!("a period of {period}");
                findings.add(format!("{pointer}/{name}"), problem, "at least 10ms");
            }
        }
    }

    fn check_ratios(&self, pointer: &str, findings: &mut Findings) {
        for (name, ratio) in [
            ("failure_odds", self.failure_odds),
            ("slow_odds", self.slow_odds),
            ("slowdown", self.slowdown),
        ] {
            if !(1.0..=10.0).contains(&ratio) {
                let problem = format!("a ratio of {ratio}");
                findings.add(format!("{pointer}/{name}"), problem, "a ratio from 1 to 10");
            }
        }
    }

    /// Rate of wrong alarms as a probability.
    #[must_use]
    pub fn alpha(&self) -> f64 {
        self.wrong_alarms.as_fraction()
    }
}
