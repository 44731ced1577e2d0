//! Status of the system's own answers.

use super::Reason;

/// The status that goes with a reason.
#[must_use]
pub(crate) fn status(reason: Reason) -> http::StatusCode {
    use http::StatusCode as Code;
    match reason.as_str() {
        "no-route" => Code::NOT_FOUND,
        "malformed" | "body-broken" => Code::BAD_REQUEST,
        "method" => Code::NOT_IMPLEMENTED,
        "body-too-long" => Code::PAYLOAD_TOO_LARGE,
        "deadline" | "too-late" => Code::GATEWAY_TIMEOUT,
        "too-deep" => Code::LOOP_DETECTED,
        "quarantined" | "key-reused" => Code::UNPROCESSABLE_ENTITY,
        "key-answered" => Code::CONFLICT,
        "backend-server-crashed"
        | "stream-reset"
        | "connection-failed"
        | "connection-silent"
        | "backend-server-failed"
        | "mismatched" => Code::BAD_GATEWAY,
        _ => Code::SERVICE_UNAVAILABLE,
    }
}
