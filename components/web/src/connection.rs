//! Client side of one HTTP/2 connection.

use std::io;
use std::time;

use bytes::Bytes;
use compio::net;
use cyper_core::HyperStream;
use hyper::client::conn::http2;

use crate::{Executor, Timer};

/// HTTP/2 connection; clones share it.
pub struct Connection<B> {
    sender: http2::SendRequest<B>,
}

impl<B> Clone for Connection<B> {
    fn clone(&self) -> Self {
        let sender = self.sender.clone();
        Self { sender }
    }
}

impl<B> Connection<B>
where
    B: http_body::Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Connects to `address`; a connection that does not answer pings within `ping` is closed.
    ///
    /// # Errors
    /// The error of the operating system, or of the HTTP/2 handshake.
    pub async fn open(address: units::Address, ping: time::Duration) -> io::Result<Self> {
        let stream = net::TcpStream::connect(address.0).await?;
        stream.set_nodelay(true)?;
        let handshake = http2::Builder::new(Executor)
            .timer(Timer)
            .keep_alive_interval(ping)
            .keep_alive_timeout(ping)
            .keep_alive_while_idle(true)
            .handshake(HyperStream::new_plain(stream))
            .await;
        let (sender, driver) = handshake.map_err(io::Error::other)?;
        compio::runtime::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!(error:% = error; "HTTP/2 connection failed");
            }
        })
        .detach();
        Ok(Self { sender })
    }

    /// Whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends one request on a stream of its own.
    ///
    /// # Errors
    /// The error of the stream or of the connection.
    pub async fn send(
        &mut self,
        request: http::Request<B>,
    ) -> hyper::Result<http::Response<hyper::body::Incoming>> {
        self.sender.ready().await?;
        self.sender.send_request(request).await
    }
}
