//! How many requests a second a backend server takes, as it has named it.

use std::collections::VecDeque;
use std::time;

use crate::{Change, Named, Usage};

/// The rate that a backend server has named, and what it got of late.
///
/// The load that it answers: a backend server in need, which bears fewer requests a second than its
/// slots would run. A token bucket (J. Turner, "New Directions in Communications", 1986) with a burst
/// of half a second and one request, so that 4.5 times the rate and one go in any four seconds.
#[derive(Debug, Clone)]
pub struct Pace {
    rate: Option<units::Rate>,
    /// An answer has come, whatever it named.
    heard: bool,
    /// When the rate was last named.
    named_at: time::Instant,
    /// Requests that may go at once, at the time `renewed`.
    tokens: f64,
    renewed: time::Instant,
    /// The last turn that was promised.
    promised: time::Instant,
    /// Arrivals of the window, the oldest first, while a rate is named.
    arrivals: VecDeque<time::Instant>,
}

impl Pace {
    /// Time over which arrivals are counted.
    pub const WINDOW: time::Duration = time::Duration::from_secs(4);
    /// Time over which unused requests add up.
    const BURST: f64 = 0.5;
    /// Lowest rate that is kept: below it no answer would tell in time that a limit has ended.
    const LEAST: f64 = 0.2;
    /// Requests that may go at once when the rate is first named, whatever was there before.
    const FIRST: f64 = 1.0;
    /// Latest turn that is promised; those who would come later share the turns before.
    const HORIZON: time::Duration = time::Duration::from_secs(10);
    /// Most arrivals that are remembered.
    const ARRIVALS: usize = 4_096;

    /// No rate is named.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            rate: None,
            heard: false,
            named_at: now,
            tokens: 0.0,
            renewed: now,
            promised: now,
            arrivals: VecDeque::new(),
        }
    }

    /// The rate that is named.
    #[must_use]
    pub fn rate(&self) -> Option<units::Rate> {
        self.rate
    }

    /// Takes what an answer says at `now` to a request that was sent at `sent`.
    ///
    /// An answer that names nothing lifts the rate only if its request was sent after the rate was last
    /// named: it may have been made before, and come late.
    pub fn hear(&mut self, named: Named, sent: time::Instant, now: time::Instant) -> Change {
        self.heard = true;
        match (named, self.rate) {
            (Named::Nothing, None) => Change::None,
            (Named::Nothing, Some(_)) if sent <= self.named_at => Change::None,
            (Named::Nothing, Some(before)) => {
                self.rate = None;
                self.arrivals = VecDeque::new();
                Change::Lifted { before }
            }
            (Named::Unreadable, kept) => Change::Unreadable { kept },
            (Named::Rate(rate), before) => {
                self.set(rate, now);
                if before == Some(rate) {
                    Change::None
                } else {
                    Change::Named { rate, before }
                }
            }
        }
    }

    /// Takes the rate that others know, until an answer has come; of several the lowest counts. Returns
    /// whether it has changed what holds.
    pub fn learn(&mut self, rate: units::Rate, now: time::Instant) -> bool {
        let is_news = !self.heard && self.rate.is_none_or(|held| rate < held);
        if is_news {
            self.set(rate, now);
        }
        is_news
    }

    fn set(&mut self, rate: units::Rate, now: time::Instant) {
        self.renew(now);
        if self.rate.is_none() {
            self.tokens = Self::FIRST;
            self.promised = now;
        }
        self.rate = Some(rate);
        self.named_at = now;
        self.tokens = self.tokens.min(burst(self.per_second()));
    }

    /// A request goes to the backend server.
    pub fn take(&mut self, now: time::Instant) {
        if self.rate.is_none() {
            return;
        }
        self.renew(now);
        self.tokens -= 1.0;
        self.slide(now);
        if self.arrivals.len() < Self::ARRIVALS {
            self.arrivals.push_back(now);
        }
    }

    /// Whether a request may go at once.
    #[must_use]
    pub fn is_open(&self, now: time::Instant) -> bool {
        self.wait(0, now).is_zero()
    }

    /// Time until a request may go before which `ahead` others go.
    #[must_use]
    pub fn wait(&self, ahead: usize, now: time::Instant) -> time::Duration {
        if self.rate.is_none() {
            return time::Duration::ZERO;
        }
        // Requests in a queue are few.
        #[allow(clippy::cast_precision_loss)]
        let missing = ahead as f64 + 1.0 - self.tokens_at(now);
        let wait = (missing / self.per_second()).max(0.0);
        time::Duration::try_from_secs_f64(wait).unwrap_or(time::Duration::MAX)
    }

    /// Promises one more asker its turn, before which `ahead` requests go; `None` where no rate is
    /// named.
    ///
    /// The turns follow each other at the rate, so that those who come when they are told find room,
    /// and do not come together.
    pub fn promise(&mut self, ahead: usize, now: time::Instant) -> Option<time::Duration> {
        self.rate?;
        let first = now + self.wait(ahead, now);
        let step = time::Duration::from_secs_f64(1.0 / self.per_second());
        let next = self.promised + step;
        let turn = if next > now + Self::HORIZON {
            first
        } else {
            first.max(next)
        };
        self.promised = turn;
        Some(turn.saturating_duration_since(now))
    }

    /// What arrived under the rate that is named.
    pub fn usage(&mut self, now: time::Instant) -> Option<Usage> {
        let rate = self.rate?;
        self.slide(now);
        Some(Usage {
            rate,
            arrived: self.arrivals.len(),
            age: now.saturating_duration_since(self.named_at),
        })
    }

    /// Requests a second that are let through.
    fn per_second(&self) -> f64 {
        self.rate.map_or(0.0, |rate| rate.0).max(Self::LEAST)
    }

    fn tokens_at(&self, now: time::Instant) -> f64 {
        let passed = now.saturating_duration_since(self.renewed).as_secs_f64();
        let rate = self.per_second();
        (self.tokens + passed * rate).min(burst(rate))
    }

    fn renew(&mut self, now: time::Instant) {
        self.tokens = self.tokens_at(now);
        self.renewed = self.renewed.max(now);
    }

    fn slide(&mut self, now: time::Instant) {
        let is_old = |at: &time::Instant| now.saturating_duration_since(*at) >= Self::WINDOW;
        while self.arrivals.front().is_some_and(is_old) {
            self.arrivals.pop_front();
        }
    }
}

/// Requests that may go at once after a calm time.
fn burst(per_second: f64) -> f64 {
    1.0 + per_second * Pace::BURST
}
