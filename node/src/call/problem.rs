//! Problems that the system reports in place of a backend server's response.

use std::time;

use bytes::Bytes;
use http::header;
use upstream::Outcome;

use super::status::status;
use super::{Headers, Reason};

/// Reason for which a request has no response of a backend server, and its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Problem {
    /// Reason why there is no response of a backend server.
    pub reason: Reason,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Time after which a retry may succeed; `None` if retrying is pointless.
    pub retry_after: Option<time::Duration>,
    /// Load at the time of the refusal, if this node refused the request for lack of capacity.
    pub occupancy: Option<admission::Occupancy>,
}

impl Problem {
    /// Default time until a retry.
    const DEFAULT_WAIT: time::Duration = time::Duration::from_millis(200);
    /// Longest wait accepted from another node.
    const WAIT_LIMIT: time::Duration = time::Duration::from_secs(3600);

    /// Creates the problem of a request that was not run and must not be retried.
    #[must_use]
    pub const fn refused(reason: Reason) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
            retry_after: None,
            occupancy: None,
        }
    }

    /// Creates the problem of a request that was not run and may be retried.
    #[must_use]
    pub const fn retryable(reason: Reason) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
            retry_after: Some(Self::DEFAULT_WAIT),
            occupancy: None,
        }
    }

    /// Creates the problem of a request that may have run.
    #[must_use]
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            reason,
            outcome: Outcome::Unknown,
            retry_after: Some(Self::DEFAULT_WAIT),
            occupancy: None,
        }
    }

    /// Returns the HTTP status of the response.
    #[must_use]
    pub fn status(&self) -> http::StatusCode {
        status(self.reason)
    }

    /// Builds the response, with one line of JSON.
    #[must_use]
    pub fn answer(&self, request: &str) -> (http::StatusCode, http::HeaderMap, Bytes) {
        let mut headers = http::HeaderMap::with_capacity(8);
        let json = http::HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        Headers::set(&mut headers, Headers::OUTCOME, self.outcome.as_str());
        Headers::set(&mut headers, Headers::REASON, self.reason.as_str());
        Headers::set(&mut headers, Headers::REQUEST, request);
        if let Some(wait) = self.retry_after {
            let millis = units::millis(wait);
            let seconds = millis.div_ceil(1_000);
            Headers::set_number(&mut headers, header::RETRY_AFTER, seconds);
            Headers::set_number(&mut headers, Headers::RETRY_AFTER_MS, millis);
        }
        let (reason, outcome) = (self.reason.as_str(), self.outcome.as_str());
        let body = format!("{{\"reason\":\"{reason}\",\"outcome\":\"{outcome}\"}}\n");
        (self.status(), headers, body.into())
    }

    /// Reads the problem from the response of another node; `None` if it is a response of the
    /// backend server.
    ///
    /// A response that does not state the outcome leaves it unknown.
    #[must_use]
    pub fn read(headers: &http::HeaderMap) -> Option<Self> {
        let outcome = Headers::text(headers, &Headers::OUTCOME);
        let outcome = outcome.and_then(|text| text.parse().ok());
        let outcome = outcome.unwrap_or(Outcome::Unknown);
        let reason = Headers::text(headers, &Headers::REASON);
        if outcome == Outcome::Ran && reason.is_none() {
            return None;
        }
        let wait = Headers::number(headers, &Headers::RETRY_AFTER_MS);
        let wait = wait.map(time::Duration::from_millis);
        Some(Self {
            reason: Reason::remote(reason.as_deref().unwrap_or_default()),
            outcome,
            retry_after: wait.map(|wait| wait.min(Self::WAIT_LIMIT)),
            occupancy: None,
        })
    }
}

impl From<admission::Refusal> for Problem {
    fn from(refusal: admission::Refusal) -> Self {
        Self {
            reason: Reason::Refused(refusal.reason),
            outcome: Outcome::NotRun,
            retry_after: Some(refusal.retry_after.max(time::Duration::from_millis(1))),
            occupancy: refusal.occupancy,
        }
    }
}

impl From<upstream::Failure> for Problem {
    fn from(failure: upstream::Failure) -> Self {
        Self {
            reason: Reason::Failed(failure.cause),
            outcome: failure.outcome(),
            retry_after: Some(Self::DEFAULT_WAIT),
            occupancy: None,
        }
    }
}
