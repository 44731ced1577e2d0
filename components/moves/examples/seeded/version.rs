//! Ways in which the new version behaves.

use std::time;

/// How the new version behaves; rates in percent, delays in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Version {
    /// As the old one.
    Good,
    /// Fails this part of its requests from the beginning.
    Fails(u32),
    /// Takes this many times as long, in percent, from the beginning.
    Slow(u32),
    /// Fails this part of its requests once it has run this long.
    FailsLate(u32, u64),
    /// Takes this many times as long once it has run this long.
    SlowLate(u32, u64),
    /// Fails this part of its requests when its backend servers are busy.
    FailsUnderLoad(u32),
    /// Takes this many times as long when its backend servers are busy.
    SlowUnderLoad(u32),
    /// Fails this part of the requests on one route.
    FailsOneRoute(u32),
    /// Its backend servers crash one after the other every so many seconds.
    Crashes(u64),
}

/// What a request to the new version meets.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Moment {
    /// Time since the version got its first share.
    pub(crate) running: time::Duration,
    /// Part of the slots of its busiest backend servers that is filled.
    pub(crate) load: f64,
    /// Index of the route.
    pub(crate) route: usize,
}

impl Version {
    /// Load from which a version that fails under load does.
    const BUSY: f64 = 0.3;

    /// The `index`th of the bad versions, over and over.
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
        let place = usize::try_from(index).unwrap_or_default() % all.len();
        all[place]
    }

    /// Part of the requests that the version's badness makes fail.
    pub(crate) fn failing(self, moment: Moment) -> f64 {
        let percent = match self {
            Self::Fails(percent) => percent,
            Self::FailsLate(percent, after) if moment.running.as_secs() >= after => percent,
            Self::FailsUnderLoad(percent) if moment.load >= Self::BUSY => percent,
            Self::FailsOneRoute(percent) if moment.route == 1 => percent,
            _ => 0,
        };
        f64::from(percent) / 100.0
    }

    /// How many times as long a request takes.
    pub(crate) fn slowdown(self, moment: Moment) -> f64 {
        let percent = match self {
            Self::Slow(percent) => percent,
            Self::SlowLate(percent, after) if moment.running.as_secs() >= after => percent,
            Self::SlowUnderLoad(percent) if moment.load >= Self::BUSY => percent,
            _ => 100,
        };
        f64::from(percent) / 100.0
    }
}
