//! Control port: faults, counts and state.

use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Serialize;

use crate::api;
use crate::body::Body;
use crate::shared::Shared;
use crate::{Counts, Faults, Settings};

/// Answers calls on the control port.
#[derive(Clone)]
pub(crate) struct Control {
    shared: Shared,
}

/// State of the process.
#[derive(Serialize)]
struct Dump<'s> {
    settings: &'s Settings,
    faults: Faults,
    counts: Counts,
    revision: u64,
    objects: Vec<Entry>,
    waiting_watches: usize,
}

#[derive(Serialize)]
struct Entry {
    key: String,
    revision: u64,
    bytes: usize,
}

impl web::Handler for Control {
    type Body = Body;

    async fn handle(self, request: http::Request<Incoming>) -> http::Response<Body> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        match (method, path.as_str()) {
            (http::Method::POST, "/faults") => self.set_faults(request).await,
            (http::Method::GET, "/faults") => api::json(&self.shared.faults.get()),
            (http::Method::GET, "/counts") => api::json(&self.shared.counts.get()),
            (http::Method::GET, "/dump") => self.dump(),
            _ => api::status(StatusCode::NOT_FOUND),
        }
    }
}

impl Control {
    const FAULTS_BYTES: usize = 4 * 1024;

    pub(crate) fn new(shared: Shared) -> Self {
        Self { shared }
    }

    async fn set_faults(&self, request: http::Request<Incoming>) -> http::Response<Body> {
        let body = Limited::new(request.into_body(), Self::FAULTS_BYTES);
        let Ok(body) = body.collect().await else {
            return api::status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let Ok(faults) = serde_json::from_slice::<Faults>(&body.to_bytes()) else {
            return api::status(StatusCode::BAD_REQUEST);
        };
        log::info!(faults:? = faults; "faults switched");
        self.shared.faults.set(faults);
        self.shared.notify();
        api::json(&faults)
    }

    fn dump(&self) -> http::Response<Body> {
        let objects = self.shared.objects.borrow();
        let entries = objects.below("").into_iter().map(|object| Entry {
            key: object.key,
            revision: object.revision,
            bytes: object.value.len(),
        });
        api::json(&Dump {
            settings: &self.shared.settings,
            faults: self.shared.faults.get(),
            counts: self.shared.counts.get(),
            revision: objects.revision(),
            objects: entries.collect(),
            waiting_watches: self.shared.waiting(),
        })
    }
}
