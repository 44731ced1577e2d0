//! Backend server that records what it ran.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// What it ran; clones share the record.
#[derive(Clone, Default)]
pub(crate) struct Backend {
    shared: Rc<RefCell<Record>>,
}

#[derive(Default)]
struct Record {
    /// Paths of the requests that it ran, in the order of their starts.
    ran: Vec<String>,
    /// Paths of the requests whose whole body came.
    whole: Vec<String>,
    headers: Vec<http::HeaderMap>,
    running: usize,
    most: usize,
    /// Further headers of its answers.
    says: http::HeaderMap,
}

struct Running {
    backend: Backend,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.backend.shared.borrow_mut().running -= 1;
    }
}

impl Backend {
    pub(crate) async fn start(&self) -> (units::Address, kernel::Trigger) {
        let any = "127.0.0.1:0".parse().expect("an address");
        let bound = web::Server::bind(any, web::Limits::default()).await;
        let server = bound.expect("a free port");
        let address = server.address().expect("an address");
        let (trigger, stop) = kernel::stop();
        compio::runtime::spawn(server.run(self.clone(), stop)).detach();
        (address, trigger)
    }

    /// Says `value` under `name` in its answers from now on, or nothing there where it is empty.
    pub(crate) fn say(&self, name: &'static str, value: &'static str) {
        let says = &mut self.shared.borrow_mut().says;
        says.remove(name);
        if !value.is_empty() {
            says.insert(name, http::HeaderValue::from_static(value));
        }
    }

    /// How often it ran requests to `path`.
    pub(crate) fn runs(&self, path: &str) -> usize {
        let record = self.shared.borrow();
        record.ran.iter().filter(|ran| *ran == path).count()
    }

    pub(crate) fn whole(&self, path: &str) -> usize {
        let record = self.shared.borrow();
        record.whole.iter().filter(|whole| *whole == path).count()
    }

    pub(crate) fn total(&self) -> usize {
        self.shared.borrow().ran.len()
    }

    /// Most requests that ran at a time.
    pub(crate) fn most(&self) -> usize {
        self.shared.borrow().most
    }

    pub(crate) fn running(&self) -> usize {
        self.shared.borrow().running
    }

    pub(crate) fn last_headers(&self) -> http::HeaderMap {
        self.shared
            .borrow()
            .headers
            .last()
            .cloned()
            .unwrap_or_default()
    }

    fn begin(&self, head: &http::request::Parts) -> Running {
        let mut record = self.shared.borrow_mut();
        record.ran.push(head.uri.path().to_owned());
        record.headers.push(head.headers.clone());
        record.running += 1;
        record.most = record.most.max(record.running);
        Running {
            backend: self.clone(),
        }
    }
}

impl web::Handler for Backend {
    type Body = web::Body;

    async fn handle(self, request: http::Request<Incoming>) -> http::Response<web::Body> {
        let (head, body) = request.into_parts();
        let running = self.begin(&head);
        let path = head.uri.path().to_owned();
        let mut body = web::Body::arriving(body, head.version, None);
        let mut received = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return http::Response::new(web::Body::empty());
            };
            if let Ok(data) = frame.into_data() {
                received.extend_from_slice(&data);
            }
        }
        self.shared.borrow_mut().whole.push(path.clone());
        if path.contains("slow") {
            compio::time::sleep(Duration::from_millis(300)).await;
        }
        if path.contains("stuck") {
            std::future::pending::<()>().await;
        }
        drop(running);
        let mut answer = http::Response::new(web::Body::from(Bytes::from(received)));
        if path.contains("sheds") {
            let headers = answer.headers_mut();
            headers.insert(
                "radishgap-outcome",
                http::HeaderValue::from_static("not-run"),
            );
            headers.insert(
                "radishgap-request",
                head.headers["radishgap-request"].clone(),
            );
            *answer.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
            return answer;
        }
        let says = self.shared.borrow().says.clone();
        answer.headers_mut().extend(says);
        if path.contains("fails") {
            *answer.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
        }
        if path.contains("lies") {
            let headers = answer.headers_mut();
            headers.insert(
                "radishgap-outcome",
                http::HeaderValue::from_static("not-run"),
            );
            headers.insert(
                "radishgap-request",
                http::HeaderValue::from_static("of-another-call"),
            );
            *answer.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
        }
        answer
    }
}
