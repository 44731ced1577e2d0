//! gRPC client channel over one HTTP/2 connection.

use std::io;
use std::pin;
use std::task;
use std::time;

use crate::Connection;

/// Channel for tonic clients; clones share the connection.
#[derive(Clone)]
pub struct Channel {
    connection: Connection<tonic::body::Body>,
    authority: http::uri::Authority,
}

impl Channel {
    const PING: time::Duration = time::Duration::from_secs(5);

    /// Connects to `address`.
    ///
    /// # Errors
    /// As of [`Connection::open`].
    pub async fn open(address: units::Address) -> io::Result<Self> {
        let connection = Connection::open(address, Self::PING).await?;
        let authority = address.to_string().parse().map_err(io::Error::other)?;
        Ok(Self {
            connection,
            authority,
        })
    }

    /// Whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.connection.is_closed()
    }
}

impl tower_service::Service<http::Request<tonic::body::Body>> for Channel {
    type Response = http::Response<hyper::body::Incoming>;
    type Error = hyper::Error;
    type Future = pin::Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>>>>;

    fn poll_ready(&mut self, _: &mut task::Context<'_>) -> task::Poll<Result<(), Self::Error>> {
        task::Poll::Ready(Ok(()))
    }

    fn call(&mut self, mut request: http::Request<tonic::body::Body>) -> Self::Future {
        let mut connection = self.connection.clone();
        let mut parts = request.uri().clone().into_parts();
        parts.scheme = Some(http::uri::Scheme::HTTP);
        parts.authority = Some(self.authority.clone());
        // The path comes from generated code, so that the parts always make a URI.
        if let Ok(uri) = http::Uri::from_parts(parts) {
            *request.uri_mut() = uri;
        }
        Box::pin(async move { connection.send(request).await })
    }
}
