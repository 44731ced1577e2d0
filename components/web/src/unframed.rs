//! Answers whose end is the close of their connection.
//!
//! The kernel closes the connections of a process that ends as it closes others. From the head of such an
//! answer until the last byte of a whole one is written, its connection therefore ends with a reset.

use compio::net;
use rustix::net::sockopt;

use crate::announce_close;

/// How far the answer of a connection has come whose end is the close of the connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Ending {
    /// No such answer has begun.
    #[default]
    None,
    /// The answer has begun, and a close would cut it.
    Open,
    /// The answer has come to its end.
    Whole,
}

/// Marks an answer whose body has no length and came to its end with a connection: on HTTP/1.1 it is
/// passed on in the same way, as a last chunk would say that it is whole.
///
/// HTTP/2 has no such form; there the end of the stream is the end of the body.
pub fn mark_unframed<B>(answer: &mut http::Response<B>) {
    // hyper chunks a body without length unless the answer is one of HTTP/1.0.
    *answer.version_mut() = http::Version::HTTP_10;
    announce_close(answer.headers_mut());
}

/// Properties of a request that decide about the form of its answer.
#[derive(Clone, Copy)]
pub(crate) struct Asked {
    version: http::Version,
    is_head: bool,
}

impl Asked {
    pub(crate) fn new<B>(request: &http::Request<B>) -> Self {
        Self {
            version: request.version(),
            is_head: request.method() == http::Method::HEAD,
        }
    }

    /// Whether the end of `answer` is the close of its connection: it is marked so, or has no length that
    /// could be told to a client of HTTP/1.0, which knows no chunks.
    pub(crate) fn is_unframed<B: http_body::Body>(self, answer: &http::Response<B>) -> bool {
        if self.version > http::Version::HTTP_11 || self.is_bodiless(answer.status()) {
            return false;
        }
        let is_marked = answer.version() == http::Version::HTTP_10;
        let has_length = answer.headers().contains_key(http::header::CONTENT_LENGTH)
            || answer.body().size_hint().exact().is_some();
        is_marked || (self.version < http::Version::HTTP_11 && !has_length)
    }

    /// Whether an answer with this status has no body.
    fn is_bodiless(self, status: http::StatusCode) -> bool {
        let never = [http::StatusCode::NO_CONTENT, http::StatusCode::NOT_MODIFIED];
        self.is_head || status.is_informational() || never.contains(&status)
    }
}

/// Lets the connection end with a reset when its last handle is dropped, or the process ends.
pub(crate) fn reset_on_close(socket: &net::TcpStream) {
    if let Err(error) = socket.set_zero_linger() {
        log::warn!(error:% = error; "a connection with an answer without length cannot be reset");
    }
}

/// Lets the connection end as usual again: what the kernel has is still sent, then the end.
pub(crate) fn end_on_close(socket: &net::TcpStream) {
    if let Err(error) = sockopt::set_socket_linger(socket, None) {
        log::warn!(error:% = error; "a connection with a whole answer may be reset");
    }
}
