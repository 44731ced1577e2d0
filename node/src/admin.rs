//! Administration port: metrics, health, readiness and the state dump.

use std::rc;

use bytes::Bytes;
use hyper::body::Incoming;
use web::Body;

use crate::{dump, metrics};

/// Answers `GET /metrics`, `/health`, `/ready` and `/dump`.
#[derive(Clone)]
pub struct Admin {
    shared: rc::Rc<Shared>,
}

struct Shared {
    dump: dump::Dump,
    exporter: metrics::Exporter,
    ready: Box<dyn Fn() -> bool>,
}

impl Admin {
    /// Serves `dump` and the metrics; `ready` says whether callers should use this node.
    pub fn new(
        dump: dump::Dump,
        exporter: metrics::Exporter,
        ready: impl Fn() -> bool + 'static,
    ) -> Self {
        let shared = Shared {
            dump,
            exporter,
            ready: Box::new(ready),
        };
        Self {
            shared: rc::Rc::new(shared),
        }
    }

    fn answer(&self, method: &http::Method, path: &str) -> http::Response<Body> {
        if method != http::Method::GET {
            return text(http::StatusCode::METHOD_NOT_ALLOWED, "only GET is served\n");
        }
        match path {
            "/health" => text(http::StatusCode::OK, "alive\n"),
            "/ready" if (self.shared.ready)() => text(http::StatusCode::OK, "ready\n"),
            "/ready" => text(http::StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/dump" => json(&self.shared.dump.collect()),
            "/metrics" => self.metrics(),
            _ => text(
                http::StatusCode::NOT_FOUND,
                "there are /health, /ready, /dump and /metrics\n",
            ),
        }
    }

    fn metrics(&self) -> http::Response<Body> {
        match self.shared.exporter.text() {
            Ok(metrics) => respond(
                http::StatusCode::OK,
                "text/plain; version=0.0.4",
                metrics.into(),
            ),
            Err(error) => {
                log::error!(error:% = error; "metrics cannot be written");
                text(http::StatusCode::INTERNAL_SERVER_ERROR, "no metrics\n")
            }
        }
    }
}

impl web::Handler for Admin {
    type Body = Body;

    async fn handle(self, request: http::Request<Incoming>) -> http::Response<Body> {
        self.answer(request.method(), request.uri().path())
    }
}

fn text(status: http::StatusCode, text: &'static str) -> http::Response<Body> {
    respond(
        status,
        "text/plain; charset=utf-8",
        Bytes::from_static(text.as_bytes()),
    )
}

fn json(value: &serde_json::Value) -> http::Response<Body> {
    let bytes = value.to_string().into_bytes();
    respond(http::StatusCode::OK, "application/json", bytes.into())
}

fn respond(
    status: http::StatusCode,
    content_type: &'static str,
    bytes: Bytes,
) -> http::Response<Body> {
    let mut response = http::Response::new(Body::from(bytes));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}
