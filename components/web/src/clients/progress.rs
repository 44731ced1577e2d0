//! How fast a client takes what it has asked for.

use std::cmp;
use std::time;

use super::Limits;

/// Whether a connection has requests in progress, or bytes that its client has yet to take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No request is in progress, and nothing waits for the client.
    Idle,
    /// A request is in progress, and nothing waits for the client.
    Busy,
    /// Something waits for the client to take it.
    Waiting,
}

/// How fast a client takes what it has asked for, since its phase began or was last judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Progress {
    phase: Phase,
    since: time::Instant,
    /// Bytes taken since then.
    taken: u64,
}

impl Progress {
    pub(crate) fn new(now: time::Instant) -> Self {
        Self {
            phase: Phase::Idle,
            since: now,
            taken: 0,
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase
    }

    /// Time in the phase, or since it was last judged.
    pub(crate) fn age(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.since)
    }

    /// Enters `phase`, unless it lasts.
    pub(crate) fn enter(&mut self, phase: Phase, now: time::Instant) {
        if self.phase != phase {
            *self = Self {
                phase,
                ..Self::new(now)
            };
        }
    }

    /// The client has taken `bytes`.
    pub(crate) fn take(&mut self, bytes: u64) {
        self.taken = self.taken.saturating_add(bytes);
    }

    /// Whether the client has taken too little in a period that is over; otherwise the next one begins.
    pub(crate) fn is_stuck(&mut self, limits: &Limits, now: time::Instant) -> bool {
        if self.phase != Phase::Waiting || self.age(now) < limits.period {
            return false;
        }
        if self.taken < limits.least {
            return true;
        }
        self.since = now;
        self.taken = 0;
        false
    }

    /// Orders clients by who takes least, and of those who take nothing by who does so for longest.
    pub(crate) fn compare(&self, other: &Self, now: time::Instant) -> cmp::Ordering {
        let rates = self.rate(now).total_cmp(&other.rate(now));
        rates.then(self.since.cmp(&other.since))
    }

    /// As [`Self::compare`], with those first who have had time to take what waits, then those for whom
    /// nothing waits.
    pub(crate) fn compare_waiting(&self, other: &Self, now: time::Instant) -> cmp::Ordering {
        let ranks = self.rank(now).cmp(&other.rank(now));
        ranks.then_with(|| self.compare(other, now))
    }

    fn rank(&self, now: time::Instant) -> u8 {
        /// Time after which it shows how fast a client takes what waits.
        const SETTLE: time::Duration = time::Duration::from_millis(200);
        match self.phase {
            Phase::Waiting if self.age(now) >= SETTLE => 0,
            Phase::Idle | Phase::Busy => 1,
            Phase::Waiting => 2,
        }
    }

    /// Bytes a second.
    fn rate(&self, now: time::Instant) -> f64 {
        /// Shortest time that a rate is taken over, in seconds.
        const LEAST: f64 = 0.001;
        // A rate needs no more digits than a float has.
        #[allow(clippy::cast_precision_loss)]
        let taken = self.taken as f64;
        taken / self.age(now).as_secs_f64().max(LEAST)
    }
}
