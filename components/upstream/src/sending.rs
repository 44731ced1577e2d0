//! Identity and deadline of a request, for the connection that sends it.

use std::time;

/// Identity and deadline of a request, for the connection that sends it; an extension of the request.
#[derive(Debug, Clone)]
pub struct Sending {
    /// Number that all sendings of a request share: no connection that carries one request at a time
    /// carries it twice, as a second copy of its first answer could not be told from the next one.
    pub identity: u64,
    /// Header for the time that is left, in milliseconds, when the connection takes the request.
    pub header: http::HeaderName,
    /// Time by which the answer has to be there.
    pub deadline: time::Instant,
}

impl Sending {
    /// Returns the extension of `request`.
    pub(crate) fn of<B>(request: &http::Request<B>) -> Option<&Self> {
        request.extensions().get()
    }

    /// Writes the time that is left into `request`, if it has a deadline.
    pub(crate) fn write_time_left<B>(request: &mut http::Request<B>) {
        let Some(sending) = Self::of(request) else {
            return;
        };
        let left = sending
            .deadline
            .saturating_duration_since(time::Instant::now());
        let left = http::HeaderValue::from(units::millis(left));
        let header = sending.header.clone();
        request.headers_mut().insert(header, left);
    }
}
