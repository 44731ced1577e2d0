//! Answers whose body has no length.

use compio::net;

use crate::announce_close;

/// Marks an answer whose body has no length and came to its end with a connection: on HTTP/1.1 it is
/// passed on in the same way, as a last chunk would say that it is whole.
///
/// HTTP/2 has no such form; there the end of the stream is the end of the body.
pub fn mark_unframed<B>(answer: &mut http::Response<B>) {
    // hyper chunks a body without length unless the answer is one of HTTP/1.0.
    *answer.version_mut() = http::Version::HTTP_10;
    announce_close(answer.headers_mut());
}

/// Whether an answer is marked so.
pub(crate) fn is_marked<B>(answer: &http::Response<B>) -> bool {
    answer.version() == http::Version::HTTP_10
}

/// Lets the connection end with a reset when its last handle is dropped: a plain close would be the end
/// of an answer without length.
pub(crate) fn reset_on_close(socket: &net::TcpStream) {
    if let Err(error) = socket.set_zero_linger() {
        log::warn!(error:% = error; "a connection with a broken answer cannot be reset");
    }
}
