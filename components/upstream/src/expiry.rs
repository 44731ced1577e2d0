//! Deadline of a request, written as the time that is left.

use std::time;

/// Deadline of a request, as an extension of the request: the time that is left is written into
/// `header`, in milliseconds, when the connection takes the request.
#[derive(Debug, Clone)]
pub struct Expiry {
    /// Header that tells the server the time that is left.
    pub header: http::HeaderName,
    /// Time by which the answer has to be there.
    pub deadline: time::Instant,
}

impl Expiry {
    /// Writes the time that is left into `request`, if it has a deadline.
    pub(crate) fn write<B>(request: &mut http::Request<B>) {
        let Some(expiry) = request.extensions().get::<Self>().cloned() else {
            return;
        };
        let left = expiry
            .deadline
            .saturating_duration_since(time::Instant::now());
        let left = http::HeaderValue::from(units::millis(left));
        request.headers_mut().insert(expiry.header, left);
    }
}
