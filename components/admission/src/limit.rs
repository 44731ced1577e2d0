//! Adaptive concurrency limit.

use std::time;

use crate::Settings;

/// Concurrency limit that adapts within the announced slots.
///
/// Additive increase and multiplicative decrease (D. Chiu and R. Jain, 1989) with latency as the
/// signal, as TCP Vegas has it (L. Brakmo and others, 1994): a window of answers whose mean latency
/// is above a multiple of the usual one, or in which the backend server shed work, lowers the limit;
/// a window in which the limit was reached raises it by one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    current: f64,
    slots: f64,
    adaptive: bool,
    tolerance: f64,
    slack_ms: f64,
    /// Usual latency in milliseconds, zero before the first window.
    usual_ms: f64,
    window: Window,
    /// Mean latency of the last window in milliseconds.
    recent_ms: f64,
}

/// Answers since the limit was last adapted.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Window {
    answers: u32,
    sum_ms: f64,
    reached: bool,
    shed: bool,
}

impl Limit {
    /// Least answers in a window.
    const WINDOW_MIN: u32 = 10;
    /// Factor of a decrease.
    const DECREASE: f64 = 0.9;
    /// Part of the difference by which the usual latency falls in a window.
    const USUAL_FALL: f64 = 0.5;
    /// Part of the difference by which the usual latency rises in a window.
    ///
    /// It rises slowly, so that a lasting change of the latency is accepted in the end.
    const USUAL_RISE: f64 = 0.01;

    /// A limit within `slots`, which starts at a quarter of them where it adapts.
    #[must_use]
    pub fn new(slots: u32, settings: &Settings) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            current: if settings.adaptive {
                (slots / 4.0).max(1.0)
            } else {
                slots
            },
            slots,
            adaptive: settings.adaptive,
            tolerance: settings.latency_tolerance,
            slack_ms: settings.latency_slack.0.as_secs_f64() * 1_000.0,
            usual_ms: 0.0,
            window: Window::default(),
            recent_ms: 0.0,
        }
    }

    /// Requests that may run at a time.
    #[must_use]
    pub fn current(&self) -> usize {
        // From 1 to the slots, which are an u32.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let current = self.current as usize;
        current
    }

    /// Mean latency of late.
    #[must_use]
    pub fn latency(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.recent_ms / 1_000.0)
    }

    /// The limit keeps a request waiting.
    pub fn reach(&mut self) {
        self.window.reached = true;
    }

    /// The backend server refused a request.
    pub fn shed(&mut self) {
        self.window.shed = true;
        self.window.answers += 1;
        self.adapt_when_due();
    }

    /// The backend server answered a request after `latency`.
    pub fn answer(&mut self, latency: time::Duration) {
        let millis = latency.as_secs_f64() * 1_000.0;
        if self.recent_ms == 0.0 {
            self.recent_ms = millis;
        }
        self.window.answers += 1;
        self.window.sum_ms += millis;
        self.adapt_when_due();
    }

    fn adapt_when_due(&mut self) {
        let due = Self::WINDOW_MIN.max(u32::try_from(self.current()).unwrap_or(u32::MAX));
        if self.window.answers < due {
            return;
        }
        let window = std::mem::take(&mut self.window);
        let mean = window.sum_ms / f64::from(window.answers);
        self.recent_ms = mean;
        let bearable = self.usual_ms * self.tolerance + self.slack_ms;
        let slow = self.usual_ms > 0.0 && mean > bearable;
        self.learn(mean);
        if !self.adaptive {
            return;
        }
        if slow || window.shed {
            self.current = (self.current * Self::DECREASE).max(1.0);
        } else if window.reached {
            self.current = (self.current + 1.0).min(self.slots);
        }
    }

    fn learn(&mut self, mean: f64) {
        if self.usual_ms == 0.0 {
            self.usual_ms = mean;
            return;
        }
        let difference = mean - self.usual_ms;
        let part = if difference < 0.0 {
            Self::USUAL_FALL
        } else {
            Self::USUAL_RISE
        };
        self.usual_ms += difference * part;
    }
}
