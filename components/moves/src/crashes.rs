//! Sequential test for crashes of backend servers.

use std::time;

use crate::contrast::{Logs, ODDS};
use crate::trials::real;
use crate::{Detector, Settings};

/// Backend servers of one version over some time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Backend servers that were ready.
    pub ready: u32,
    /// Those that crashed: gone without draining while the node beside them runs on.
    pub crashed: u32,
}

/// Evidence that the new version's backend servers crash.
///
/// Crashes are rare, so that a rate is assumed for healthy ones: that of the settings, or twice
/// what the old version shows, such as when a request crashes every backend server that runs it.
#[derive(Debug, Clone)]
pub struct Crashes {
    detector: Detector,
    /// Crashes a second of a healthy backend server at most.
    assumed: f64,
    /// Backend server seconds of the old version.
    old_time: f64,
    old_crashes: u64,
    new_crashes: u64,
}

impl Crashes {
    /// Rates, in multiples of the assumed one, that are looked for.
    const RATIOS: Logs = [10.0, 100.0, 1_000.0, 10_000.0];

    /// No evidence yet.
    #[must_use]
    pub fn new(settings: &Settings, horizon: u32) -> Self {
        let interval = settings.crash_interval.0.as_secs_f64().max(1.0);
        Self {
            detector: Detector::new(horizon),
            assumed: 1.0 / interval,
            old_time: 0.0,
            old_crashes: 0,
            new_crashes: 0,
        }
    }

    /// Takes what `elapsed` showed.
    pub fn absorb(&mut self, old: Fleet, new: Fleet, elapsed: time::Duration) {
        let seconds = elapsed.as_secs_f64();
        self.old_time += f64::from(old.ready) * seconds;
        self.old_crashes += u64::from(old.crashed);
        self.new_crashes += u64::from(new.crashed);
        let shown = 2.0 * real(self.old_crashes) / self.old_time.max(1.0);
        let rate = self.assumed.max(shown);
        let exposure = f64::from(new.ready.max(new.crashed)) * seconds;
        let mut logs = [0.0; ODDS.len()];
        for (log, ratio) in logs.iter_mut().zip(Self::RATIOS) {
            *log = f64::from(new.crashed) * ratio.ln() - (ratio - 1.0) * rate * exposure;
        }
        self.detector.absorb(logs);
    }

    /// Logarithm of the evidence.
    #[must_use]
    pub fn log_evidence(&self) -> f64 {
        self.detector.log_evidence()
    }

    /// Crashes of the new version so far.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.new_crashes
    }
}
