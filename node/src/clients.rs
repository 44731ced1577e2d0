//! Bounds on what the clients of the listener for callers hold.

use serde::{Deserialize, Serialize};
use settings::Findings;

units::record! {
    /// Bounds on what the clients of the listener for callers hold.
    #[derive(Serialize, Deserialize, schemars::JsonSchema)]
    #[serde(default, deny_unknown_fields)]
    pub struct Settings {
        /// Memory of the machine; what the operating system says where it is not set.
        pub machine: Option<units::Size>,
        /// Part of it that all connections of callers may hold together, with their requests in progress and
        /// the answers not yet taken.
        pub part: f64,
        /// Time in which a caller that does not take its answers as fast as they come has to take `least`; its
        /// connection is closed otherwise.
        pub period: units::Period,
        /// Bytes that such a caller has to take in each period.
        pub least: units::Size,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            machine: None,
            part: 0.3,
            period: units::Period::from_millis(10_000),
            least: units::Size(10 * 1024),
        }
    }
}

impl Settings {
    /// Adds what is wrong with the settings at `place`.
    pub fn check(&self, place: &str, findings: &mut Findings) {
        if !(self.part > 0.0 && self.part < 1.0) {
            let problem = self.part.to_string();
            findings.add(format!("{place}/part"), problem, "a part between 0 and 1");
        }
        if self.period.0.is_zero() {
            let place = format!("{place}/period");
            findings.add(place, "no time", "a time above zero");
        }
    }

    /// The bounds in the listener's terms.
    #[must_use]
    pub fn limits(&self) -> web::clients::Limits {
        let machine = self.machine.unwrap_or_else(installed);
        // A size needs no more digits than a float has, and the part of it is not negative.
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let memory = (machine.0 as f64 * self.part) as u64;
        web::clients::Limits {
            memory,
            period: self.period.0,
            least: self.least.0,
        }
    }
}

/// Memory of the machine, as the operating system says.
fn installed() -> units::Size {
    let info = rustix::system::sysinfo();
    units::Size(info.totalram.saturating_mul(u64::from(info.mem_unit)))
}
