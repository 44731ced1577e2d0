//! Settings of quotas, and the times that follow from them.

use std::time;

use serde::{Deserialize, Serialize};

use crate::Terms;

units::record! {
    /// Settings of quotas, the same on all nodes.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(deny_unknown_fields, default)]
    pub struct Settings {
        /// Length of the window of the rule.
        pub window: units::Period,
        /// Part of the quota that may be used beyond it.
        pub over: f64,
        /// Requests that may be sent beside that part.
        pub slack: f64,
        /// Shortest time between two reports of a wallet.
        pub period: units::Period,
        /// Reports a second that the granter receives from all wallets.
        pub reports: units::Rate,
        /// Time for which dead members count for the majority.
        pub dead_count: units::Period,
        /// Time for which members that left count for the majority.
        pub left_count: units::Period,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: units::Period::from_secs(5),
            over: 0.1,
            slack: 20.0,
            period: units::Period::from_millis(400),
            reports: units::Rate(300.0),
            dead_count: units::Period::from_secs(30),
            left_count: units::Period::from_secs(10),
        }
    }
}

impl Settings {
    /// The rule.
    #[must_use]
    pub fn terms(&self) -> Terms {
        Terms {
            window: self.window.0,
            over: self.over,
            slack: self.slack,
        }
    }

    /// Times in a mesh of `members`.
    #[must_use]
    pub fn intervals(&self, members: usize) -> Intervals {
        let seconds = members as f64 / self.reports.0.max(1.0);
        let spread = time::Duration::try_from_secs_f64(seconds).unwrap_or_default();
        Intervals {
            period: self.period.0.max(spread),
        }
    }

    /// Adds findings for rules that the schema cannot express; `place` is the settings' JSON pointer.
    pub fn check(&self, place: &str, findings: &mut findings::Findings) {
        if self.window.0.is_zero() {
            findings.add(format!("{place}/window"), "no time", "a time above zero");
        }
        if self.period.0.is_zero() {
            findings.add(format!("{place}/period"), "no time", "a time above zero");
        }
    }
}

units::record! { eq:
    /// Times between messages, and for how long they hold.
    #[derive(Copy)]
    pub struct Intervals {
        /// Time between two reports.
        pub period: time::Duration,
    }
}

impl Intervals {
    /// Time for which votes and leased tokens hold; two reports may be lost.
    #[must_use]
    pub fn ttl(&self) -> time::Duration {
        self.period * 3
    }

    /// Longest wait for a reply.
    #[must_use]
    pub fn timeout(&self) -> time::Duration {
        self.period.mul_f64(0.75)
    }

    /// Time between two reports while no node is known to grant.
    #[must_use]
    pub fn search(&self) -> time::Duration {
        self.period / 2
    }

    /// Shortest time between two reports that requests ask for.
    #[must_use]
    pub fn ask(&self) -> time::Duration {
        self.period / 20
    }

    /// Time ahead for which tokens are wanted.
    #[must_use]
    pub fn ahead(&self) -> time::Duration {
        self.period.mul_f64(1.5)
    }
}
