//! Behaviour of the new version.

use std::time;

/// Behaviour of the new version; rates are in percent, delays in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Version {
    /// Same behaviour as the old version.
    Good,
    /// Fails this part of its requests from the start.
    Fails(u32),
    /// Takes this percentage of the usual time from the start.
    Slow(u32),
    /// Fails this part of its requests after this delay.
    FailsLate(u32, u64),
    /// Takes this percentage of the usual time after this delay.
    SlowLate(u32, u64),
    /// Fails this part of its requests while its backend servers are busy.
    FailsUnderLoad(u32),
    /// Takes this percentage of the usual time while its backend servers are busy.
    SlowUnderLoad(u32),
    /// Fails this part of the requests on one route.
    FailsOneRoute(u32),
    /// Crashes one backend server after the other, at this interval in seconds.
    Crashes(u64),
}

/// Conditions of a request to the new version.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Conditions {
    /// Time since the version got its first share.
    pub(crate) running: time::Duration,
    /// Part of the slots in use on the busiest backend servers of the version.
    pub(crate) load: f64,
    /// Index of the route.
    pub(crate) route: usize,
}

impl Version {
    /// Load from which a version that is bad under load fails or slows down.
    const BUSY_LOAD: f64 = 0.3;

    /// Bad version number `index`, cycling through all kinds.
    pub(crate) fn bad(index: u64) -> Self {
        let all = [
            Self::Fails(100),
            Self::Fails(20),
            Self::Fails(5),
            Self::Slow(300),
            Self::Slow(200),
            Self::FailsLate(100, 20),
            Self::FailsLate(30, 60),
            Self::SlowLate(400, 45),
            Self::FailsUnderLoad(50),
            Self::SlowUnderLoad(500),
            Self::FailsOneRoute(100),
            Self::FailsOneRoute(15),
            Self::Crashes(5),
        ];
        let position = usize::try_from(index).unwrap_or_default() % all.len();
        all[position]
    }

    /// Part of the requests that fail because the version is bad.
    pub(crate) fn failure_rate(self, conditions: Conditions) -> f64 {
        let percent = match self {
            Self::Fails(percent) => percent,
            Self::FailsLate(percent, after) if conditions.running.as_secs() >= after => percent,
            Self::FailsUnderLoad(percent) if conditions.load >= Self::BUSY_LOAD => percent,
            Self::FailsOneRoute(percent) if conditions.route == 1 => percent,
            _ => 0,
        };
        f64::from(percent) / 100.0
    }

    /// Factor by which a request takes longer.
    pub(crate) fn slowdown(self, conditions: Conditions) -> f64 {
        let percent = match self {
            Self::Slow(percent) => percent,
            Self::SlowLate(percent, after) if conditions.running.as_secs() >= after => percent,
            Self::SlowUnderLoad(percent) if conditions.load >= Self::BUSY_LOAD => percent,
            _ => 100,
        };
        f64::from(percent) / 100.0
    }
}
