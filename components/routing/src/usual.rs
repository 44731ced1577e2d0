//! Usual latency of a route.

use std::cell;
use std::time;

/// Usual latency of the answers on a route, over all backend servers.
///
/// Routes take very different times, so that only the ratio to the usual one tells how fast a
/// backend server is.
#[derive(Debug, Default)]
pub struct Usual {
    /// In milliseconds; zero before the first answer.
    millis: cell::Cell<f64>,
    /// Bytes of a request and its answer.
    bytes: cell::Cell<f64>,
}

impl Usual {
    /// Part of a new latency in the average.
    const PART: f64 = 0.05;
    /// Largest ratio that one answer counts for, so that a single one does not condemn its server.
    const RATIO_MOST: f64 = 5.0;

    /// Takes the bytes of a request and its answer, as far as they are known.
    pub fn weigh(&self, bytes: u64) {
        // Sizes of messages.
        #[allow(clippy::cast_precision_loss)]
        let bytes = bytes as f64;
        let held = self.bytes.get();
        let usual = if held == 0.0 {
            bytes
        } else {
            held + (bytes - held) * Self::PART
        };
        self.bytes.set(usual);
    }

    /// Usual bytes of a request and its answer; zero before the first answer.
    #[must_use]
    pub fn bytes(&self) -> f64 {
        self.bytes.get()
    }

    /// The usual latency; zero before the first answer.
    #[must_use]
    pub fn latency(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.millis.get() / 1_000.0)
    }

    /// Takes the latency of an answer; returns its ratio to the usual one before.
    pub fn compare(&self, latency: time::Duration) -> f64 {
        let millis = (latency.as_secs_f64() * 1_000.0).max(0.1);
        let usual = self.millis.get();
        if usual == 0.0 {
            self.millis.set(millis);
            return 1.0;
        }
        self.millis.set(usual + (millis - usual) * Self::PART);
        (millis / usual).min(Self::RATIO_MOST)
    }
}
