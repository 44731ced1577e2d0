//! Handler of callers' requests.

use std::time;

use compact_str::format_compact;
use http_body::Body as _;
use hyper::body::Incoming;
use routing::Observer;
use upstream::{Outcome, Payload};

use super::delivery::Delivery;
use super::{Answer, Dialect, Ingress, Problem};
use crate::call::event::Event;
use crate::call::owner::respond;
use crate::call::{Headers, Reason, ResponseBody};

/// Counts a request that its caller cancels before the response.
struct CancelGuard<'i, L: peer::Link, O: Observer, D: Dialect> {
    ingress: &'i Ingress<L, O, D>,
    payload: Option<Payload>,
}

impl<L: peer::Link, O: Observer, D: Dialect> Drop for CancelGuard<'_, L, O, D> {
    fn drop(&mut self) {
        if let Some(payload) = self.payload.take() {
            self.ingress.count(|counts| counts.cancelled += 1);
            payload.abandon();
        }
    }
}

impl<L: peer::Link, O: Observer, D: Dialect> web::Handler for Ingress<L, O, D> {
    type Body = ResponseBody<Delivery<L, O, D>>;

    async fn handle(self, request: http::Request<Incoming>) -> http::Response<Self::Body> {
        self.count(|counts| counts.requests += 1);
        let dialect = self.shared.context.dialect.clone();
        let (head, body) = request.into_parts();
        let metadata = dialect.read(&head);
        let given = metadata
            .as_ref()
            .ok()
            .and_then(|metadata| metadata.id.clone());
        let local = metadata.as_ref().is_ok_and(|metadata| metadata.local);
        self.count(|counts| counts.beside += u64::from(local));
        let id = given
            .unwrap_or_else(|| format_compact!("{:x}-{:x}", self.shared.id_prefix, self.next_id()));
        let request = http::Request::from_parts(head, body);
        let arrived = metadata.map_err(Problem::refused);
        let is_short = request.extensions().get::<web::clients::Short>().is_some();
        let arrived = arrived.and_then(|metadata| {
            let problem = Problem::retryable(Reason::NoMemory);
            if is_short { Err(problem) } else { Ok(metadata) }
        });
        // On HTTP/2 only the stream ends.
        let may_close = request.version() < http::Version::HTTP_2;
        let mut unread = may_close && !request.body().is_end_stream();
        let arrived = arrived.and_then(|metadata| self.parse(request, &id, metadata));
        let answer = match arrived {
            Ok(arrival) => {
                let payload = Some(arrival.payload.clone());
                let mut guard = CancelGuard {
                    ingress: &self,
                    payload,
                };
                let deadline = arrival.deadline;
                let served = self.serve(&arrival).await;
                guard.payload = None;
                unread = may_close && !arrival.payload.has_ended();
                if let Err(problem) = &served {
                    if unread {
                        discard(arrival.payload.clone());
                    }
                    Event::Ended(problem).log(&self.inputs(&arrival, 0));
                }
                served.map(|answer| (answer, deadline))
            }
            Err(problem) => Err(problem),
        };
        match answer {
            Ok((answer, deadline)) => complete(&dialect, answer, deadline, &id),
            Err(problem) => {
                self.count(|counts| match problem.outcome {
                    Outcome::NotRun => counts.not_run += 1,
                    Outcome::Unknown | Outcome::Ran => counts.unknown += 1,
                });
                let mut response = respond(dialect.answer(&problem, &id));
                if unread {
                    web::announce_close(response.headers_mut());
                }
                response
            }
        }
    }
}

/// Reads the rest of the body of a request that has its answer, for a short time: closing a connection
/// with unread bytes would reset it, and the caller could lose the answer.
fn discard(payload: Payload) {
    const LIMIT: time::Duration = time::Duration::from_secs(1);
    compio::runtime::spawn(async move {
        let _ = compio::time::timeout(LIMIT, payload.discard()).await;
    })
    .detach();
}

/// Builds the response for the caller.
fn complete<L: peer::Link, O: Observer, D: Dialect>(
    dialect: &D,
    answer: Answer<L, O, D>,
    deadline: time::Instant,
    id: &str,
) -> http::Response<ResponseBody<Delivery<L, O, D>>> {
    let body = ResponseBody::new(answer.source, Some(answer.delivery), deadline);
    let mut response = http::Response::from_parts(answer.parts, body);
    *response.version_mut() = http::Version::HTTP_11;
    if response.headers_mut().remove(Headers::UNFRAMED).is_some() {
        web::mark_unframed(&mut response);
    }
    dialect.complete_headers(response.headers_mut(), id);
    response
}
