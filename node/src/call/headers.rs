//! Headers of the request path.

use admission::{Named, Statement};
use compact_str::CompactString;
use http::HeaderName;
use http::header;

/// Headers of the request path.
pub struct Headers;

impl Headers {
    /// What became of a request: `ran`, `not-run` or `unknown`.
    pub const OUTCOME: HeaderName = HeaderName::from_static("radishgap-outcome");
    /// Why the system itself answers.
    pub const REASON: HeaderName = HeaderName::from_static("radishgap-reason");
    /// Wait before the next attempt, in milliseconds.
    pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("radishgap-retry-after-ms");
    /// Id of the request.
    pub const REQUEST: HeaderName = HeaderName::from_static("radishgap-request");
    /// Time left until the deadline, in milliseconds.
    pub const DEADLINE_MS: HeaderName = HeaderName::from_static("radishgap-deadline-ms");
    /// Number of the attempt, from 1.
    pub const ATTEMPT: HeaderName = HeaderName::from_static("radishgap-attempt");
    /// Calls above this one.
    pub const DEPTH: HeaderName = HeaderName::from_static("radishgap-depth");
    /// Key that resends of a request share.
    pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");
    /// Number of the sending with a key, as the caller counts, from 1.
    pub const KEY_ATTEMPT: HeaderName = HeaderName::from_static("idempotency-attempt");
    /// On answers of a backend server: requests a second that it takes from all callers together, a
    /// decimal number, for as long as it says so.
    pub const RATE_LIMIT: HeaderName = HeaderName::from_static("radishgap-rate-limit");
    /// On answers of a backend server: `1` where it leaves.
    pub const LEAVING: HeaderName = HeaderName::from_static("radishgap-leaving");
    /// Between nodes: the service that is meant.
    pub const SERVICE: HeaderName = HeaderName::from_static("radishgap-service");
    /// Between nodes: the version that is meant.
    pub const VERSION: HeaderName = HeaderName::from_static("radishgap-version");
    /// Between nodes: who sends the request.
    pub const CALLER: HeaderName = HeaderName::from_static("radishgap-caller");
    /// Between nodes: time left until an answer is wanted, in milliseconds.
    pub const TARGET_MS: HeaderName = HeaderName::from_static("radishgap-target-ms");
    /// Between nodes: hash of the name of the request's route.
    pub const ROUTE: HeaderName = HeaderName::from_static("radishgap-route");
    /// Between nodes: rank of the request's route.
    pub const PRIORITY: HeaderName = HeaderName::from_static("radishgap-priority");
    /// Between nodes: only the recorded end of the key's request is wanted.
    pub const KEY_RECALL: HeaderName = HeaderName::from_static("radishgap-key-recall");
    /// Between nodes: time that the records have to cover, in milliseconds.
    pub const KEY_COVER_MS: HeaderName = HeaderName::from_static("radishgap-key-cover-ms");
    /// Between nodes: mesh address of the owner that is told before the key's request runs.
    pub const KEY_BACKUP: HeaderName = HeaderName::from_static("radishgap-key-backup");
    /// Between nodes: the sending owner, with this id, is about to run the key's request.
    pub const KEY_NOTE: HeaderName = HeaderName::from_static("radishgap-key-note");
    /// Between nodes: the request was on a backend server that crashed.
    pub const SUSPECT: HeaderName = HeaderName::from_static("radishgap-suspect");
    /// Between nodes: a backend server may have had the request before.
    pub const RESENT: HeaderName = HeaderName::from_static("radishgap-resent");
    /// Between nodes: how far a repeated run made the call, in parts per 10,000.
    pub const CALLED_AGAIN: HeaderName = HeaderName::from_static("radishgap-called-again");
    /// Between nodes: load of the owner in parts per 10,000 of its limit.
    pub const LOAD: HeaderName = HeaderName::from_static("radishgap-load");
    /// Between nodes: what is known of a backend server in need, as [`super::Need`] writes it.
    pub const NEED: HeaderName = HeaderName::from_static("radishgap-need");
    /// Between nodes: version of the configuration that the sender holds.
    pub const CONFIGURATION: HeaderName = HeaderName::from_static("radishgap-configuration");

    /// Headers of ours that only nodes exchange.
    const INTERNAL: [HeaderName; 15] = [
        Self::NEED,
        Self::CONFIGURATION,
        Self::ROUTE,
        Self::TARGET_MS,
        Self::PRIORITY,
        Self::SERVICE,
        Self::VERSION,
        Self::CALLER,
        Self::KEY_RECALL,
        Self::KEY_COVER_MS,
        Self::KEY_BACKUP,
        Self::KEY_NOTE,
        Self::SUSPECT,
        Self::RESENT,
        Self::CALLED_AGAIN,
    ];
    /// Headers of ours on answers, which a backend server may not set.
    const ANSWER: [HeaderName; 7] = [
        Self::NEED,
        Self::CONFIGURATION,
        Self::OUTCOME,
        Self::REASON,
        Self::RETRY_AFTER_MS,
        Self::REQUEST,
        Self::LOAD,
    ];
    /// Headers that belong to one connection only, RFC 9110, section 7.6.1.
    const HOP: [HeaderName; 6] = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::TRAILER,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ];

    /// Removes what belongs to one connection only.
    pub(crate) fn strip_hop(headers: &mut http::HeaderMap) {
        let named = headers.get(header::CONNECTION).cloned();
        for name in named.iter().filter_map(|value| value.to_str().ok()) {
            for token in name.split(',') {
                headers.remove(token.trim());
            }
        }
        for name in Self::HOP {
            headers.remove(name);
        }
        if headers.get(header::TE).is_some_and(|te| te != "trailers") {
            headers.remove(header::TE);
        }
    }

    /// Removes what only nodes exchange.
    pub(crate) fn strip_internal(headers: &mut http::HeaderMap) {
        for name in Self::INTERNAL {
            headers.remove(name);
        }
    }

    /// Removes what only the system may say on an answer.
    pub(crate) fn strip_answer(headers: &mut http::HeaderMap) {
        for name in Self::ANSWER {
            headers.remove(name);
        }
    }

    /// Removes every header of ours.
    pub fn strip_own(headers: &mut http::HeaderMap) {
        const PREFIX: &str = "radishgap-";
        let own = headers
            .keys()
            .filter(|name| name.as_str().starts_with(PREFIX));
        let own: Vec<_> = own.cloned().collect();
        for name in own {
            headers.remove(name);
        }
    }

    /// The text of a header; `None` when it is missing or not text.
    pub(crate) fn text(headers: &http::HeaderMap, name: &HeaderName) -> Option<CompactString> {
        headers.get(name)?.to_str().ok().map(CompactString::from)
    }

    /// The number in a header; `None` when it is missing or not a number.
    pub(crate) fn number(headers: &http::HeaderMap, name: &HeaderName) -> Option<u64> {
        headers.get(name)?.to_str().ok()?.parse().ok()
    }

    /// What a backend server says of itself in the headers `rate` and `leaving` of an answer.
    #[must_use]
    pub fn statement(
        headers: &http::HeaderMap,
        rate: &HeaderName,
        leaving: &HeaderName,
    ) -> Statement {
        let values = headers.get_all(rate).iter();
        Statement {
            rate: Named::read(values.map(|value| value.to_str().ok())),
            leaving: headers.get_all(leaving).iter().any(|value| value == "1"),
        }
    }

    /// Sets a header to text that is valid by its origin; leaves it out where it is not.
    pub(crate) fn set(headers: &mut http::HeaderMap, name: HeaderName, text: &str) {
        match http::HeaderValue::from_str(text) {
            Ok(value) => {
                headers.insert(name, value);
            }
            Err(_) => log::error!(header = name.as_str(); "a header's value is not valid"),
        }
    }

    /// Sets a header to a number.
    pub(crate) fn set_number(headers: &mut http::HeaderMap, name: HeaderName, number: u64) {
        headers.insert(name, http::HeaderValue::from(number));
    }
}
