//! One call of a caller.

use std::time;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::{BodyExt, Full};
use radishgap_backend::Headers;

use super::{Connection, Outcome, Seen};

units::record! {
    /// What a caller asks for.
    pub struct Call {
        /// The caller's own id of the call; resends share it.
        pub id: CompactString,
        /// Kind of the request.
        pub verb: Verb,
        /// Host that it names.
        pub host: CompactString,
        /// Path.
        pub path: CompactString,
        /// Idempotency key.
        pub key: Option<CompactString>,
        /// Bytes of its body.
        pub body_bytes: usize,
        /// Bytes that the answer shall have.
        pub answer_bytes: usize,
        /// Number of this attempt among those that may have run, from 1.
        pub attempt: u32,
        /// Whether it crashes the backend server that runs it.
        pub crash: bool,
        /// Longest wait for the answer.
        pub patience: units::Period,
    }
}

/// Number of the attempt of a request with an idempotency key.
const KEY_ATTEMPT: &str = "idempotency-attempt";

/// Method of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verb {
    /// Idempotent.
    Get,
    /// Idempotent, with a body.
    Put,
    /// Not idempotent.
    Post,
}

impl Verb {
    /// Whether a request may run more than once without harm.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        self != Self::Post
    }

    fn method(self) -> http::Method {
        match self {
            Self::Get => http::Method::GET,
            Self::Put => http::Method::PUT,
            Self::Post => http::Method::POST,
        }
    }
}

impl Call {
    /// An idempotent call without a body and with a small answer.
    #[must_use]
    pub fn get(id: impl Into<CompactString>, host: &str, path: &str) -> Self {
        Self {
            id: id.into(),
            verb: Verb::Get,
            host: host.into(),
            path: path.into(),
            key: None,
            body_bytes: 0,
            answer_bytes: 256,
            attempt: 1,
            crash: false,
            patience: units::Period::from_secs(5),
        }
    }

    /// Sends the call on `connection` and says what came of it.
    pub async fn run(&self, connection: &Connection) -> Seen {
        let started = time::Instant::now();
        let work = self.exchange(connection);
        let mut seen = match compio::time::timeout(self.patience.0, work).await {
            Ok(seen) => seen,
            Err(_) => Seen::without_answer(Outcome::TimedOut),
        };
        seen.took = started.elapsed();
        seen
    }

    /// The request as it is sent.
    ///
    /// # Errors
    /// A host or path that no request can name.
    pub fn request(&self) -> Result<http::Request<Full<Bytes>>, http::Error> {
        let body = vec![b'x'; self.body_bytes];
        let mut builder = http::Request::builder()
            .method(self.verb.method())
            .uri(format!("http://{}{}", self.host, self.path))
            .header(http::header::HOST, self.host.as_str())
            .header(Headers::CALL, self.id.as_str())
            .header(Headers::ANSWER_BYTES, self.answer_bytes);
        if let Some(key) = &self.key {
            builder = builder
                .header(Headers::KEY, key.as_str())
                .header(KEY_ATTEMPT, self.attempt);
        }
        if self.crash {
            builder = builder.header(Headers::CRASH, "1");
        }
        builder.body(Full::from(body))
    }

    async fn exchange(&self, connection: &Connection) -> Seen {
        let Ok(request) = self.request() else {
            return Seen::without_answer(Outcome::Broken);
        };
        let answer = match connection.send(request).await {
            Ok(answer) => answer,
            Err(error) if error.is_unsent() => return Seen::without_answer(Outcome::Unsent),
            Err(_) => return Seen::without_answer(Outcome::Broken),
        };
        let (parts, body) = answer.into_parts();
        let body = body.collect().await;
        let body = body.ok().map(|body| body.to_bytes());
        Seen::read(self, &parts, body.as_deref())
    }
}
