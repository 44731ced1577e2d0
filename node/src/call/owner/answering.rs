//! Answers the requests that other nodes send.

use std::time;

use hyper::body::Incoming;
use upstream::Payload;

use super::{Job, Owner, Serving};
use crate::call::{Dialect, Download, Envelope, Headers, Watch};

impl<L: peer::Link, D: Dialect> web::Handler for Owner<L, D> {
    type Body = Download<Serving<L, D>>;

    async fn handle(self, request: http::Request<Incoming>) -> http::Response<Self::Body> {
        let (head, body) = request.into_parts();
        self.shared.context.hear_configuration(&head.headers);
        let envelope = Envelope::read(&head.headers, time::Instant::now());
        let deadline = envelope.as_ref().map(|envelope| envelope.deadline);
        let id = envelope.as_ref().map(|envelope| envelope.request.clone());
        let (id, deadline) = (
            id.unwrap_or_default(),
            deadline.unwrap_or(time::Instant::now()),
        );
        let served = match envelope {
            Ok(envelope) => {
                let body = web::Body::arriving(body, head.version, None);
                let keep = self.shared.context.settings.upstream.replay.as_len();
                let payload = Payload::new(body, keep);
                let job = Job {
                    envelope,
                    head,
                    payload,
                };
                self.serve(job).await
            }
            Err(problem) => Err(problem),
        };
        let need = self.need(served.as_ref().err());
        let mut answer = match served {
            Ok(served) => {
                let download = Download::new(served.source, served.watch, deadline);
                http::Response::from_parts(served.parts, download)
            }
            Err(problem) => respond(problem.answer(&id)),
        };
        Headers::set(answer.headers_mut(), Headers::REQUEST, &id);
        let load = load_parts(self.shared.gate.load());
        Headers::set_number(answer.headers_mut(), Headers::LOAD, load);
        if let Some(need) = need {
            need.write(answer.headers_mut());
        }
        self.shared.context.tell_configuration(answer.headers_mut());
        answer
    }
}

/// Load in parts per 10,000.
fn load_parts(load: f64) -> u64 {
    const LARGEST: f64 = 1e6;
    // Clamped to a small positive number.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let parts = (load * 10_000.0).clamp(0.0, LARGEST) as u64;
    parts
}

/// The system's own answer to a request.
pub(crate) fn respond<W: Watch>(
    (status, headers, body): (http::StatusCode, http::HeaderMap, bytes::Bytes),
) -> http::Response<Download<W>> {
    let mut answer = http::Response::new(Download::memory(body));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}
