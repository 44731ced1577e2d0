//! How many requests a second a backend server takes, as it has named it.

use std::collections::VecDeque;
use std::time;

use crate::Named;

/// The rate that a backend server has named, and what it got of late.
///
/// The load that it answers: a backend server in need, which bears fewer requests a second than its
/// slots would run.
#[derive(Debug, Clone)]
pub struct Pace {
    rate: Option<units::Rate>,
    /// When the rate was last named.
    named_at: time::Instant,
    /// Arrivals of the window, the oldest first, while a rate is named.
    arrivals: VecDeque<time::Instant>,
}

/// How an answer changed what is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// Nothing has changed.
    None,
    /// It names a rate, other than the one `before`.
    Named {
        /// Requests a second.
        rate: units::Rate,
        /// The rate before, if one was named.
        before: Option<units::Rate>,
    },
    /// It no longer names the rate `before`.
    Lifted {
        /// The rate before.
        before: units::Rate,
    },
    /// What it names cannot be read; the rate `kept` stays.
    Unreadable {
        /// The rate before, if one was named.
        kept: Option<units::Rate>,
    },
}

/// What a backend server got under the rate that it has named.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Requests a second that it has named.
    pub rate: units::Rate,
    /// Requests that it got in the last [`Pace::WINDOW`].
    pub arrived: usize,
    /// Time since it last named the rate.
    pub age: time::Duration,
}

impl Pace {
    /// Time over which arrivals are counted.
    pub const WINDOW: time::Duration = time::Duration::from_secs(4);
    /// Most arrivals that are remembered.
    const ARRIVALS: usize = 4_096;

    /// No rate is named.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            rate: None,
            named_at: now,
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
                self.rate = Some(rate);
                self.named_at = now;
                if before == Some(rate) {
                    Change::None
                } else {
                    Change::Named { rate, before }
                }
            }
        }
    }

    /// A request goes to the backend server.
    pub fn take(&mut self, now: time::Instant) {
        if self.rate.is_none() {
            return;
        }
        self.slide(now);
        if self.arrivals.len() < Self::ARRIVALS {
            self.arrivals.push_back(now);
        }
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

    fn slide(&mut self, now: time::Instant) {
        let is_old = |at: &time::Instant| now.saturating_duration_since(*at) >= Self::WINDOW;
        while self.arrivals.front().is_some_and(is_old) {
            self.arrivals.pop_front();
        }
    }
}
