//! Sequential test for crashes of backend servers.

use std::time;

use crate::contrast::{LogRatios, ODDS_RATIOS};
use crate::trials::as_f64;
use crate::{Detector, Settings};

/// Backend servers of one version over a period.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Number of ready backend servers.
    pub ready: u32,
    /// Number of backend servers that disappeared without draining while the node beside them kept running.
    pub crashed: u32,
}

/// Evidence that the new version's backend servers crash.
///
/// Crashes are rare, so the rate of healthy backend servers is assumed: the one in the settings, or
/// twice the rate of the old version, for example when a request crashes every backend server that
/// runs it.
#[derive(Debug, Clone)]
pub struct Crashes {
    detector: Detector,
    /// Highest crash rate of a healthy backend server, per second.
    assumed_rate: f64,
    /// Total time for which the old version's backend servers were ready, in seconds.
    old_seconds: f64,
    old_crashes: u64,
    new_crashes: u64,
}

impl Crashes {
    /// Crash rates of the alternatives, as multiples of the assumed rate.
    const RATE_RATIOS: LogRatios = [10.0, 100.0, 1_000.0, 10_000.0];

    /// Creates a test without evidence.
    #[must_use]
    pub fn new(settings: &Settings, horizon: u32) -> Self {
        let interval = settings.crash_interval.0.as_secs_f64().max(1.0);
        Self {
            detector: Detector::new(horizon),
            assumed_rate: 1.0 / interval,
            old_seconds: 0.0,
            old_crashes: 0,
            new_crashes: 0,
        }
    }

    /// Adds the crashes within `elapsed`.
    pub fn update(&mut self, old: Fleet, new: Fleet, elapsed: time::Duration) {
        let seconds = elapsed.as_secs_f64();
        self.old_seconds += f64::from(old.ready) * seconds;
        self.old_crashes += u64::from(old.crashed);
        self.new_crashes += u64::from(new.crashed);
        let doubled_old_rate = 2.0 * as_f64(self.old_crashes) / self.old_seconds.max(1.0);
        let rate = self.assumed_rate.max(doubled_old_rate);
        let exposure = f64::from(new.ready.max(new.crashed)) * seconds;
        let mut log_ratios = [0.0; ODDS_RATIOS.len()];
        for (log_ratio, ratio) in log_ratios.iter_mut().zip(Self::RATE_RATIOS) {
            *log_ratio = f64::from(new.crashed) * ratio.ln() - (ratio - 1.0) * rate * exposure;
        }
        self.detector.update(log_ratios);
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
