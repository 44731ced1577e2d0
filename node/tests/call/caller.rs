//! A caller over HTTP/2.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};

/// What a caller got; all empty when its stream was reset before an answer.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Got {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) reason: String,
    /// The whole body; `None` when it broke off.
    pub(crate) body: Option<Bytes>,
    pub(crate) headers: http::HeaderMap,
}

pub(crate) struct Caller {
    connection: web::Connection<Full<Bytes>>,
}

impl Caller {
    pub(crate) async fn open(address: units::Address) -> Self {
        let opened = web::Connection::open(address, Duration::from_secs(5)).await;
        let connection = opened.expect("a connection");
        Self { connection }
    }

    pub(crate) async fn send(&self, method: &str, path: &str) -> Got {
        self.send_with(method, path, &[], b"").await
    }

    /// Sends a request and reads its answer without keeping it: its status, and whether it came whole.
    pub(crate) async fn skim(&self, path: &str) -> (u16, bool) {
        let request = http::Request::get(format!("http://menus.example{path}"));
        let request = request.body(Full::default()).expect("a request");
        let mut connection = self.connection.clone();
        let Ok(answer) = connection.send(request).await else {
            return (0, false);
        };
        let (parts, body) = answer.into_parts();
        let mut body = web::Body::arriving(body, http::Version::HTTP_2, None);
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return (parts.status.as_u16(), false);
            }
        }
        (parts.status.as_u16(), true)
    }

    pub(crate) async fn send_with(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Got {
        let mut builder = http::Request::builder()
            .method(method)
            .uri(format!("http://menus.example{path}"));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::from(body.to_vec())).expect("a request");
        let mut connection = self.connection.clone();
        let Ok(answer) = connection.send(request).await else {
            return Got::default();
        };
        let (parts, body) = answer.into_parts();
        let text = |name: &str| {
            let value = parts
                .headers
                .get(name)
                .and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        Got {
            status: parts.status.as_u16(),
            outcome: text("radishgap-outcome"),
            reason: text("radishgap-reason"),
            body: collect(body).await,
            headers: parts.headers,
        }
    }
}

/// The whole body; a stream that is reset with `NO_ERROR` counts as broken off too.
async fn collect(body: hyper::body::Incoming) -> Option<Bytes> {
    let body = web::Body::arriving(body, http::Version::HTTP_2, None);
    body.collect().await.ok().map(|whole| whole.to_bytes())
}
