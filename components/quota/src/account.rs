//! Tokens of one workspace at a wallet.

use std::time;

use compact_str::CompactString;
use schema::quota as wire;
use units::Uptime;

/// Tokens of one workspace at a wallet, and the demand seen here.
#[derive(Debug)]
pub(crate) struct Account {
    pub(crate) workspace: u64,
    pub(crate) name: CompactString,
    pub(crate) tokens: u32,
    /// Time at which the tokens lapse.
    pub(crate) lapse: Uptime,
    /// Tokens used since the last report.
    pub(crate) used: u32,
    /// Requests that wait for a token.
    pub(crate) waiting: u32,
    /// Time until which the workspace is exhausted.
    pub(crate) exhausted: Uptime,
    /// Time of the last request.
    seen: Option<Uptime>,
    /// Requests since the demand was last updated.
    arrived: u32,
    /// Requests since the last report.
    unreported: u32,
    /// Requests a second, smoothed.
    demand: f64,
    measured: Uptime,
    /// Refusals since the last log line.
    pub(crate) refused: u64,
    /// Time of the last log line.
    pub(crate) logged: Option<Uptime>,
}

impl Account {
    /// Time after its last request for which a workspace keeps a token here.
    const SPARSE: time::Duration = time::Duration::from_secs(10);
    /// Time over which demand is smoothed.
    const SMOOTHING: f64 = 1.0;
    /// Shortest time over which demand is measured, so that asks do not distort it.
    const MEASURE: time::Duration = time::Duration::from_millis(200);

    pub(crate) fn new(workspace: u64, name: CompactString, now: Uptime) -> Self {
        Self {
            workspace,
            name,
            tokens: 0,
            lapse: now,
            used: 0,
            waiting: 0,
            exhausted: Uptime::default(),
            seen: None,
            arrived: 0,
            unreported: 0,
            demand: 0.0,
            measured: now,
            refused: 0,
            logged: None,
        }
    }

    /// Counts a request.
    pub(crate) fn arrive(&mut self, now: Uptime) {
        self.seen = Some(now);
        self.arrived = self.arrived.saturating_add(1);
        self.unreported = self.unreported.saturating_add(1);
    }

    /// Takes a token if there is one that has not lapsed.
    pub(crate) fn take(&mut self, now: Uptime) -> bool {
        self.lapse(now);
        if self.tokens == 0 {
            return false;
        }
        self.tokens -= 1;
        self.used = self.used.saturating_add(1);
        true
    }

    /// Takes a token back that was taken since the last report.
    pub(crate) fn give_back(&mut self, now: Uptime) {
        self.used = self.used.saturating_sub(1);
        self.tokens += 1;
        self.lapse(now);
    }

    /// Drops the tokens if they have lapsed.
    fn lapse(&mut self, now: Uptime) {
        if self.lapse <= now {
            self.tokens = 0;
        }
    }

    /// Entry for the next report; `None` if no request of the workspace has arrived lately.
    pub(crate) fn want(&mut self, ahead: time::Duration, now: Uptime) -> Option<wire::Want> {
        self.lapse(now);
        self.measure(now);
        let desired = self.desired(ahead, now);
        let returned = self.tokens.saturating_sub(desired);
        self.tokens -= returned;
        self.used = 0;
        if desired == 0 && returned == 0 && self.waiting == 0 && self.unreported == 0 {
            return None;
        }
        Some(wire::Want {
            workspace: self.workspace,
            held: self.tokens,
            returned,
            waiting: self.waiting,
            ahead: desired - self.tokens,
            arrived: std::mem::take(&mut self.unreported),
        })
    }

    /// Tokens for requests of the time `ahead`, with a deviation of their number.
    fn desired(&self, ahead: time::Duration, now: Uptime) -> u32 {
        let is_recent = |seen: Uptime| now.saturating_since(seen) < Self::SPARSE;
        if !self.seen.is_some_and(is_recent) {
            return 0;
        }
        let mean = self.demand * ahead.as_secs_f64();
        // Numbers of requests; the cast saturates.
        ((mean + mean.sqrt()).ceil() as u32).max(1)
    }

    fn measure(&mut self, now: Uptime) {
        let passed = now.saturating_since(self.measured);
        if passed < Self::MEASURE {
            return;
        }
        let seconds = passed.as_secs_f64();
        let rate = f64::from(self.arrived) / seconds;
        let part = 1.0 - (-seconds / Self::SMOOTHING).exp();
        self.demand += part * (rate - self.demand);
        self.arrived = 0;
        self.measured = now;
    }
}
