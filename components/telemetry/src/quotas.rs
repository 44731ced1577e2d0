//! Bounds of lines a second, by what the lines are about.

use std::time;

use crate::Quota;

/// Target of the log lines that tell of decisions about single requests.
pub const REQUESTS: &str = "request";

/// Bounds of lines a second: one for decisions about single requests, one for all other lines.
///
/// Lines about requests come in thousands just when much else changes; they must not push out what
/// the process says of its beliefs.
#[derive(Debug, Clone, Copy)]
pub struct Quotas {
    requests: Quota,
    others: Quota,
}

impl Quotas {
    /// Lines a second about requests.
    const REQUEST_LINES: u32 = 50;
    /// Lines a second about anything else; a node that follows a storm of changes writes some tens.
    const OTHER_LINES: u32 = 200;

    /// Bounds that count from `now`.
    #[must_use]
    pub fn new(now: time::Instant) -> Self {
        Self {
            requests: Quota::new(Self::REQUEST_LINES, now),
            others: Quota::new(Self::OTHER_LINES, now),
        }
    }

    /// Whether one more line with this `target` may be written at `now`.
    pub fn take(&mut self, target: &str, now: time::Instant) -> bool {
        let quota = match target {
            REQUESTS => &mut self.requests,
            _ => &mut self.others,
        };
        quota.take(now)
    }

    /// Lines left out since it was last asked, once a new second has begun; zero before.
    pub fn take_left_out(&mut self, now: time::Instant) -> u64 {
        self.requests.take_left_out(now) + self.others.take_left_out(now)
    }
}
