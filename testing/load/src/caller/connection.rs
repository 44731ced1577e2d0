//! A caller's connection over HTTP/1.1 or HTTP/2.

use std::cell;
use std::io;
use std::time;

use bytes::Bytes;
use compio::net;
use cyper_core::HyperStream;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;

/// Version of HTTP.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1, one request at a time on a connection.
    Http1,
    /// HTTP/2.
    Http2,
}

/// An open connection.
pub struct Connection {
    kind: Kind,
}

enum Kind {
    Http1(cell::RefCell<Option<http1::SendRequest<Full<Bytes>>>>),
    Http2(web::Connection<Full<Bytes>>),
}

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error("{0}")]
    Failed(#[from] hyper::Error),
    /// Another request is under way on a connection of HTTP/1.1.
    #[error("the connection is in use")]
    InUse,
}

impl Error {
    /// Whether no byte of the request can have reached the other end.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Failed(error) => error.is_canceled() || is_refused(error),
            Self::InUse => true,
        }
    }
}

/// Whether the other end refused the stream unprocessed, RFC 9113, section 8.7.
fn is_refused(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let reason = source.and_then(|source| source.downcast_ref::<h2::Error>());
    reason.is_some_and(|error| error.reason() == Some(h2::Reason::REFUSED_STREAM))
}

impl Connection {
    /// Time without an answer to a ping after which an HTTP/2 connection is closed.
    const PING: time::Duration = time::Duration::from_secs(5);

    /// Connects to `address`.
    ///
    /// # Errors
    /// The error of the operating system or of the handshake.
    pub async fn open(address: units::Address, protocol: Protocol) -> io::Result<Self> {
        let kind = match protocol {
            Protocol::Http1 => Kind::Http1(cell::RefCell::new(Some(open_http1(address).await?))),
            Protocol::Http2 => Kind::Http2(web::Connection::open(address, Self::PING).await?),
        };
        Ok(Self { kind })
    }

    /// Sends one request.
    ///
    /// # Errors
    /// Says whether the request may have been sent.
    pub async fn send(
        &self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, Error> {
        match &self.kind {
            Kind::Http1(sender) => {
                let mut taken = sender.take().ok_or(Error::InUse)?;
                taken.ready().await?;
                let answer = taken.send_request(request).await?;
                sender.replace(Some(taken));
                Ok(answer)
            }
            Kind::Http2(connection) => Ok(connection.clone().send(request).await?),
        }
    }

    /// Whether no further request can be sent on it.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        match &self.kind {
            Kind::Http1(sender) => sender.borrow().as_ref().is_none_or(|one| one.is_closed()),
            Kind::Http2(connection) => connection.is_closed(),
        }
    }
}

async fn open_http1(address: units::Address) -> io::Result<http1::SendRequest<Full<Bytes>>> {
    let stream = net::TcpStream::connect(address.0).await?;
    stream.set_nodelay(true)?;
    let handshake = http1::handshake(HyperStream::new_plain(stream)).await;
    let (sender, driver) = handshake.map_err(io::Error::other)?;
    compio::runtime::spawn(async move {
        if let Err(error) = driver.await {
            log::debug!(error:% = error; "HTTP/1.1 connection failed");
        }
    })
    .detach();
    Ok(sender)
}
