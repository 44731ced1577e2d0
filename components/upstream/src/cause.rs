//! Why a request has no whole answer.

use std::error;

use crate::Outcome;

/// Why a request has no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Cause {
    /// No connection could be opened.
    #[error("no connection could be opened")]
    Connect,
    /// The connection closed before the request was written to it.
    #[error("the connection closed before the request was sent")]
    Unsent,
    /// The server refused the stream unprocessed: `REFUSED_STREAM`, RFC 9113, section 8.7.
    #[error("the server refused the stream")]
    Refused,
    /// The server shut the connection down below the stream's id, RFC 9113, section 6.8.
    #[error("the server shut the connection down before it took the request")]
    GoAway,
    /// The server reset the stream.
    #[error("the server reset the stream")]
    Reset,
    /// The connection failed: reset, or closed with the request on it.
    #[error("the connection failed")]
    Broken,
    /// The connection fell silent: its ping was not answered.
    #[error("the connection fell silent")]
    Silent,
    /// The body of the request ended early.
    #[error("the request's body broke off")]
    Body,
}

impl Cause {
    /// Outcome of a request that ends so.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Connect | Self::Unsent | Self::Refused | Self::GoAway => Outcome::NotRun,
            Self::Reset | Self::Broken | Self::Silent | Self::Body => Outcome::Unknown,
        }
    }

    /// Reads the cause out of an error of the client connection.
    ///
    /// Only frames that came from the server prove that it did not process the stream; the same
    /// reasons raised by the library at this end prove nothing.
    #[must_use]
    pub fn of(error: &hyper::Error) -> Self {
        if error.is_timeout() {
            return Self::Silent;
        }
        let Some(protocol) = find_protocol(error) else {
            return Self::Broken;
        };
        let from_server = protocol.is_remote();
        if from_server && protocol.is_go_away() {
            return Self::GoAway;
        }
        if !protocol.is_reset() {
            return Self::Broken;
        }
        match protocol.reason() {
            Some(h2::Reason::REFUSED_STREAM) if from_server => Self::Refused,
            _ => Self::Reset,
        }
    }
}

/// The HTTP/2 error among the sources of `error`.
fn find_protocol(error: &hyper::Error) -> Option<&h2::Error> {
    let mut source = error::Error::source(error);
    while let Some(current) = source {
        if let Some(found) = current.downcast_ref() {
            return Some(found);
        }
        source = current.source();
    }
    None
}
