//! Single HTTP requests to control ports.

use std::io;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};

use crate::caller::{Connection, Protocol};

/// An answer that has arrived whole.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status.
    pub status: http::StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Time that one request may take, its connection included.
const TIMEOUT: time::Duration = time::Duration::from_secs(3);

impl Reply {
    /// The body as JSON.
    ///
    /// # Errors
    /// That it is not JSON of this kind.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

/// Gets `path` from `address` over a connection of its own.
///
/// # Errors
/// The error of the connection, or that the answer did not come in time.
pub async fn get(address: units::Address, path: &str) -> io::Result<Reply> {
    request(address, http::Method::GET, path, Bytes::new()).await
}

/// Posts `value` as JSON to `path` at `address`.
///
/// # Errors
/// As of [`get`].
pub async fn post<T: serde::Serialize>(
    address: units::Address,
    path: &str,
    value: &T,
) -> io::Result<Reply> {
    let body = serde_json::to_vec(value)?;
    request(address, http::Method::POST, path, body.into()).await
}

async fn request(
    address: units::Address,
    method: http::Method,
    path: &str,
    body: Bytes,
) -> io::Result<Reply> {
    let work = async {
        let connection = Connection::open(address, Protocol::Http1).await?;
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::HOST, address.to_string())
            .body(Full::new(body))
            .map_err(io::Error::other)?;
        let answer = connection.send(request).await.map_err(io::Error::other)?;
        let (parts, body) = answer.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?;
        Ok(Reply {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    };
    let ended = compio::time::timeout(TIMEOUT, work).await;
    ended.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
