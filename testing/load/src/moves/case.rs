//! What the new version of a move is like.

use std::fmt;
use std::time;

use radishgap_backend::{Bad, Effect, Faults, Health, Load, Onset};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng, rngs};
use serde::Serialize;

/// How a new version is bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Badness {
    /// It fails from the first request on.
    FailsAtOnce,
    /// It fails after a time.
    FailsLate,
    /// It fails while many slots are in use.
    FailsUnderLoad,
    /// It fails on one route.
    FailsOnRoute,
    /// It is slow from the first request on.
    SlowAtOnce,
    /// It is slow after a time.
    SlowLate,
    /// It is slow while many slots are in use.
    SlowUnderLoad,
    /// It is slow on one route.
    SlowOnRoute,
    /// Some of its requests crash it.
    Crashes,
}

units::record! {
    /// A move: what the new version is like, and what it says of itself.
    #[derive(Serialize)]
    pub struct Case {
        /// How it is bad; none for a good version.
        pub badness: Option<Badness>,
        /// Whether it announces itself as healthy and idle all the time.
        pub lies: bool,
    }
}

/// Path below a service's prefix of the one route on which a version may be bad.
pub(super) const BAD_ROUTE: &str = "b";

const ALL: [Badness; 9] = [
    Badness::FailsAtOnce,
    Badness::FailsLate,
    Badness::FailsUnderLoad,
    Badness::FailsOnRoute,
    Badness::SlowAtOnce,
    Badness::SlowLate,
    Badness::SlowUnderLoad,
    Badness::SlowOnRoute,
    Badness::Crashes,
];

/// The cases of `count` moves: half of them good, the rest bad in each way in turn, in an order
/// that the seed draws.
#[must_use]
pub fn cases(seed: u64, count: usize) -> Vec<Case> {
    let mut random = rngs::StdRng::seed_from_u64(seed);
    let mut cases: Vec<_> = (0..count)
        .map(|number| Case {
            badness: (number % 2 == 1).then(|| ALL[number / 2 % ALL.len()]),
            lies: random.random_bool(0.5),
        })
        .collect();
    cases.shuffle(&mut random);
    cases
}

impl Case {
    /// Time after its start at which a late badness shows; within every deadline of the experiment.
    const LATE: units::Period = units::Period::from_secs(15);
    /// What a slow request takes longer.
    const SLOW_BY: units::Period = units::Period::from_millis(40);
    /// Share of the requests that a bad version fails.
    const FAILING: u32 = 3_000;
    /// Share of the requests that crash a bad version.
    const CRASHING: u32 = 300;
    /// Share of the slots above which load shows badness.
    const LOADED: u32 = 1_000;

    /// Whether the move should end done.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.badness.is_none()
    }

    /// Whether its badness is slowness.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        matches!(
            self.badness,
            Some(
                Badness::SlowAtOnce
                    | Badness::SlowLate
                    | Badness::SlowUnderLoad
                    | Badness::SlowOnRoute
            )
        )
    }

    /// Faults of the backend servers with the new version of the service below `prefix`.
    #[must_use]
    pub fn faults(&self, prefix: &str) -> Faults {
        let lies = self.lies;
        Faults {
            bad: self.badness.map(|badness| bad(badness, prefix)),
            health: if lies {
                Health::Healthy
            } else {
                Health::Truthful
            },
            load: if lies { Load::Idle } else { Load::Truthful },
            lag: if lies {
                units::Period(time::Duration::from_secs(3))
            } else {
                units::Period::default()
            },
            ..Faults::default()
        }
    }
}

fn bad(badness: Badness, prefix: &str) -> Bad {
    let parts = |parts| units::Share::from_parts(parts).unwrap_or_default();
    let (effect, share) = match badness {
        Badness::FailsAtOnce
        | Badness::FailsLate
        | Badness::FailsUnderLoad
        | Badness::FailsOnRoute => (Effect::Fail, parts(Case::FAILING)),
        Badness::Crashes => (Effect::Crash, parts(Case::CRASHING)),
        _ => (Effect::Slow, units::Share::WHOLE),
    };
    let onset = match badness {
        Badness::FailsLate | Badness::SlowLate => Onset::Late,
        Badness::FailsUnderLoad | Badness::SlowUnderLoad => Onset::UnderLoad,
        _ => Onset::AtOnce,
    };
    let one_route = matches!(badness, Badness::FailsOnRoute | Badness::SlowOnRoute);
    Bad {
        effect,
        onset,
        after: Case::LATE,
        above: parts(Case::LOADED),
        on_route: one_route.then(|| format!("{prefix}/{BAD_ROUTE}").into()),
        share,
        slow_by: Case::SLOW_BY,
    }
}

impl fmt::Display for Case {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.badness {
            None => formatter.write_str("good")?,
            Some(badness) => write!(formatter, "{badness:?}")?,
        }
        if self.lies {
            formatter.write_str(", lying")?;
        }
        Ok(())
    }
}
