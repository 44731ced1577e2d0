//! Adaptive concurrency limit.

use std::time;

use crate::Settings;

/// Concurrency limit that adapts within the announced slots.
///
/// Additive increase and multiplicative decrease (D. Chiu and R. Jain, 1989) with latency as the
/// signal, as in TCP Vegas (L. Brakmo and others, 1994). The limit is lowered after a window of answers
/// whose mean latency exceeds a multiple of the usual latency, or in which the backend server shed
/// load, and is raised by one after a window in which it was reached.
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
    /// Minimum number of answers in a window.
    const MIN_ANSWERS: u32 = 10;
    /// Factor by which the limit is decreased.
    const DECREASE_FACTOR: f64 = 0.9;
    /// Weight of a window with a lower mean in the usual latency.
    const FALL_WEIGHT: f64 = 0.5;
    /// Weight of a window with a higher mean in the usual latency.
    ///
    /// The usual latency rises slowly, so that only a lasting increase becomes the new normal.
    const RISE_WEIGHT: f64 = 0.01;

    /// Creates a limit of at most `slots`; an adaptive limit starts at a quarter of them.
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

    /// Number of requests that may run concurrently.
    #[must_use]
    pub fn current(&self) -> usize {
        // The value is between 1 and the number of slots, which is a `u32`.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let current = self.current as usize;
        current
    }

    /// Mean latency of the last window.
    #[must_use]
    pub fn latency(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.recent_ms / 1_000.0)
    }

    /// Records that a request has to wait because of the limit.
    pub fn record_reached(&mut self) {
        self.window.reached = true;
    }

    /// Records that the backend server refused a request.
    pub fn record_shed(&mut self) {
        self.window.shed = true;
        self.window.answers += 1;
        self.adapt_if_due();
    }

    /// Records an answer of the backend server after `latency`.
    pub fn record_answer(&mut self, latency: time::Duration) {
        let millis = latency.as_secs_f64() * 1_000.0;
        if self.recent_ms == 0.0 {
            self.recent_ms = millis;
        }
        self.window.answers += 1;
        self.window.sum_ms += millis;
        self.adapt_if_due();
    }

    fn adapt_if_due(&mut self) {
        let due = Self::MIN_ANSWERS.max(u32::try_from(self.current()).unwrap_or(u32::MAX));
        if self.window.answers < due {
            return;
        }
        let window = std::mem::take(&mut self.window);
        let mean = window.sum_ms / f64::from(window.answers);
        self.recent_ms = mean;
        let tolerated = self.usual_ms * self.tolerance + self.slack_ms;
        let slow = self.usual_ms > 0.0 && mean > tolerated;
        self.update_usual(mean);
        if !self.adaptive {
            return;
        }
        if slow || window.shed {
            self.current = (self.current * Self::DECREASE_FACTOR).max(1.0);
        } else if window.reached {
            self.current = (self.current + 1.0).min(self.slots);
        }
    }

    fn update_usual(&mut self, mean: f64) {
        if self.usual_ms == 0.0 {
            self.usual_ms = mean;
            return;
        }
        let difference = mean - self.usual_ms;
        let weight = if difference < 0.0 {
            Self::FALL_WEIGHT
        } else {
            Self::RISE_WEIGHT
        };
        self.usual_ms += difference * weight;
    }
}
