//! Control port: the record, the counts, a dump, and the faults.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::Serialize;

use crate::{Faults, Run, State};

/// Handler of the control port.
#[derive(Clone)]
pub struct Control {
    state: State,
}

type Answer = http::Response<Full<Bytes>>;

impl Control {
    /// Largest body, in bytes.
    const MAX_BODY_BYTES: usize = 64 * 1024;

    /// Controls the process with `state`.
    #[must_use]
    pub fn new(state: State) -> Self {
        Self { state }
    }

    async fn set_faults(&self, body: Incoming) -> Answer {
        let Ok(body) = Limited::new(body, Self::MAX_BODY_BYTES).collect().await else {
            return text(
                http::StatusCode::BAD_REQUEST,
                "the body is too long or broken",
            );
        };
        let faults: Faults = match serde_json::from_slice(&body.to_bytes()) {
            Ok(faults) => faults,
            Err(error) => return text(http::StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let mut findings = settings::Findings::default();
        faults.check("", &mut findings);
        if !findings.is_empty() {
            return text(http::StatusCode::BAD_REQUEST, &findings.to_string());
        }
        log::info!(faults:? = faults; "faults set");
        self.state.set_faults(faults);
        json(&self.state.faults())
    }
}

fn text(status: http::StatusCode, message: &str) -> Answer {
    let mut answer = http::Response::new(Full::from(message.to_owned()));
    *answer.status_mut() = status;
    answer
}

fn json<T: Serialize>(value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(bytes) => http::Response::new(Full::from(bytes)),
        Err(error) => text(http::StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

impl web::Handler for Control {
    type Body = Full<Bytes>;

    async fn handle(self, request: http::Request<Incoming>) -> Answer {
        let (parts, body) = request.into_parts();
        match (&parts.method, parts.uri.path()) {
            (&http::Method::GET, "/record") => {
                let runs: Vec<Run> = self.state.record(|record| record.runs().cloned().collect());
                json(&runs)
            }
            (&http::Method::GET, "/counts") => {
                json(&self.state.record(|record| record.counts().clone()))
            }
            (&http::Method::GET, "/dump") => json(&self.state.dump()),
            (&http::Method::POST, "/faults") => self.set_faults(body).await,
            _ => text(http::StatusCode::NOT_FOUND, "no such method and path"),
        }
    }
}
