//! Connections to one backend server, by the version of HTTP that it speaks.

use std::rc;
use std::time;

use serde::{Deserialize, Serialize};

use crate::{Counts, Dialer, Failure, Feed, Lines, Patience, Pool, Reply, Settings};

/// Version of HTTP that backend servers speak.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// HTTP/1.1: one request at a time on a connection.
    Http1,
    /// HTTP/2 with prior knowledge.
    #[default]
    Http2,
}

/// Connections to one backend server; clones share them.
#[derive(Clone)]
pub enum Server {
    /// The server speaks HTTP/1.1.
    Http1(Lines),
    /// The server speaks HTTP/2.
    Http2(Pool),
}

impl Server {
    /// No connection yet to `address`.
    #[must_use]
    pub fn new(address: units::Address, settings: rc::Rc<Settings>, dialer: Dialer) -> Self {
        match settings.backend_protocol {
            Protocol::Http1 => Self::Http1(Lines::new(address, settings, dialer)),
            Protocol::Http2 => Self::Http2(Pool::new(address, settings, dialer)),
        }
    }

    /// The server's address.
    #[must_use]
    pub fn address(&self) -> units::Address {
        match self {
            Self::Http1(lines) => lines.address(),
            Self::Http2(pool) => pool.address(),
        }
    }

    /// Figures.
    #[must_use]
    pub fn counts(&self) -> Counts {
        match self {
            Self::Http1(lines) => lines.counts(),
            Self::Http2(pool) => pool.counts(),
        }
    }

    /// Closes connections that the server may close soon.
    pub fn maintain(&self, now: time::Instant) {
        if let Self::Http1(lines) = self {
            lines.close_stale(now);
        }
    }

    /// Whether the server is there after one of its connections broke.
    ///
    /// On HTTP/2 all requests share a connection, so that its end is the best sign of a crash.
    pub async fn is_up(&self) -> bool {
        match self {
            Self::Http1(lines) => lines.is_up().await,
            Self::Http2(_) => false,
        }
    }

    /// Sends one request; dropping the future cancels it.
    ///
    /// # Errors
    /// The failure says what became of the request.
    pub async fn send(&self, request: http::Request<Feed>) -> Result<Reply, Failure> {
        match self {
            Self::Http1(lines) => lines.send(request).await,
            Self::Http2(pool) => pool.send(request, Patience::Silence).await,
        }
    }
}
