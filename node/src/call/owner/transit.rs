//! Time that requests of other nodes spend on their way to this one.

use std::time;

use units::Uptime;

use super::Owner;
use crate::call::{Dialect, Envelope, Headers, Stamp};

impl<L: peer::Link, D: Dialect> Owner<L, D> {
    /// Wait on the way from which on a request is logged.
    const LONG_WAIT: time::Duration = time::Duration::from_millis(250);

    /// Returns the time that a request with these headers has waited on its way.
    pub(super) fn record_transit(&self, headers: &http::HeaderMap) -> time::Duration {
        let stamp = Headers::text(headers, &Headers::SENT);
        let stamp: Option<Stamp> = stamp.and_then(|text| text.parse().ok());
        let now = Uptime::now();
        let record = |stamp| self.shared.transits.borrow_mut().record(stamp, now);
        stamp.map(record).unwrap_or_default()
    }

    /// Logs a request that has waited long on its way.
    pub(super) fn log_delay(&self, envelope: &Envelope, waited: time::Duration) {
        if waited < Self::LONG_WAIT {
            return;
        }
        self.count(|counts| counts.delayed += 1);
        let inputs = self.inputs(envelope);
        log::info!(target: telemetry::REQUESTS, event = "request-delayed", request = inputs.request,
            service = inputs.service.as_str(), attempts = inputs.attempts,
            left_ms = units::millis(inputs.left), waited_ms = units::millis(waited);
            "request has waited on its way from another node");
    }
}
