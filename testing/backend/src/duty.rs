//! Answers the requests of callers.

use std::process;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::answer::Body;
use crate::state::{Execution, State};
use crate::{Bad, Effect, Ending, Headers, Run, answer, headers};

/// Handler of requests.
#[derive(Clone)]
pub struct Duty {
    state: State,
}

/// What a request asks for.
struct Ask {
    run: Run,
    deadline: Option<time::Instant>,
    answer_bytes: usize,
    crash: bool,
}

/// How an execution went on within its time.
enum Work {
    Done,
    Expired,
}

impl Duty {
    /// Largest body of an answer, in bytes.
    const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

    /// Answers for the process with `state`.
    #[must_use]
    pub fn new(state: State) -> Self {
        Self { state }
    }

    /// Reads the whole body and gives its length; `None` when it breaks off.
    async fn receive(body: Incoming) -> Option<u64> {
        let mut body = body;
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.ok()?;
            length += frame.data_ref().map_or(0, |data| data.len() as u64);
        }
        Some(length)
    }

    fn read(&self, parts: &http::request::Parts) -> Ask {
        let all = &parts.headers;
        let text = |name| headers::text(all, name).unwrap_or_default().into();
        let left = headers::number(all, Headers::DEADLINE);
        let bytes = headers::number(all, Headers::ANSWER_BYTES).unwrap_or_default();
        let crash = headers::text(all, Headers::CRASH) == Some("1");
        let path = parts.uri.path();
        Ask {
            run: Run {
                number: 0,
                instance: self.state.instance(),
                version: self.state.settings().version.clone(),
                request: text(Headers::REQUEST),
                call: text(Headers::CALL),
                key: text(Headers::KEY),
                method: parts.method.as_str().into(),
                path: path.into(),
                attempt: headers::number(all, Headers::ATTEMPT).unwrap_or_default(),
                body_bytes: 0,
                start: units::Wall::default(),
                leaving_ms: None,
                rate_limit: None,
                end: None,
                ending: None,
            },
            deadline: left.map(|left| time::Instant::now() + time::Duration::from_millis(left)),
            // Bounded by the constant.
            answer_bytes: usize::try_from(bytes.min(Self::MAX_ANSWER_BYTES)).unwrap_or_default(),
            crash: crash || self.state.faults().crashes(path),
        }
    }

    /// Executes the request and answers it.
    async fn execute(&self, mut ask: Ask) -> http::Response<Body> {
        ask.run.start = units::Wall::now();
        ask.run.leaving_ms = self.state.leaving_ms();
        ask.run.rate_limit = self.state.faults().rate_limit;
        let execution = self.state.begin(ask.run.clone());
        let bad = self.state.bad(&ask.run.path);
        let crashes = bad.as_ref().is_some_and(|bad| bad.effect == Effect::Crash);
        if ask.crash || crashes {
            execution.close(Ending::Crashed);
            log::error!(request = ask.run.request.as_str(); "a request crashes the process");
            process::abort();
        }
        match self.work(&ask, bad.as_ref()).await {
            Work::Done => self.finish(&ask, bad.as_ref(), execution),
            Work::Expired => {
                execution.close(Ending::Expired);
                self.refuse(&ask.run, http::StatusCode::GATEWAY_TIMEOUT, "ran")
            }
        }
    }

    /// Takes the time that the request takes, up to its deadline.
    async fn work(&self, ask: &Ask, bad: Option<&Bad>) -> Work {
        let mut takes = self.state.service_time();
        if let Some(bad) = bad
            && bad.effect == Effect::Slow
        {
            takes += bad.slow_by.0;
        }
        let ends = time::Instant::now() + takes;
        match ask.deadline {
            Some(deadline) if deadline < ends => {
                compio::time::sleep_until(deadline).await;
                Work::Expired
            }
            _ => {
                compio::time::sleep_until(ends).await;
                Work::Done
            }
        }
    }

    fn finish(&self, ask: &Ask, bad: Option<&Bad>, execution: Execution) -> http::Response<Body> {
        let bytes = answer::fill(&ask.run.call, ask.answer_bytes);
        let digest = answer::sum(&bytes);
        let effect = bad.map(|bad| bad.effect);
        let failed = effect == Some(Effect::Fail);
        execution.close(if failed {
            Ending::Failed
        } else {
            Ending::Answered
        });
        let status = if failed {
            http::StatusCode::INTERNAL_SERVER_ERROR
        } else {
            http::StatusCode::OK
        };
        let body = match effect {
            Some(Effect::Truncate) => Body::half(bytes),
            _ => Body::whole(bytes),
        };
        let builder = self.builder(&ask.run, status);
        let answer = builder.header(Headers::DIGEST, format!("{digest:016x}"));
        complete(answer, body)
    }

    /// Answers without a body.
    fn refuse(&self, run: &Run, status: http::StatusCode, outcome: &str) -> http::Response<Body> {
        let builder = self.builder(run, status).header(Headers::OUTCOME, outcome);
        complete(builder, Body::whole(Bytes::new()))
    }

    fn builder(&self, run: &Run, status: http::StatusCode) -> http::response::Builder {
        let settings = self.state.settings();
        let mut builder = http::Response::builder();
        if let Some(rate) = self.state.faults().rate_limit {
            builder = builder.header(Headers::RATE_LIMIT, rate.0.to_string());
        }
        if self.state.leaving_ms().is_some() {
            builder = builder.header(Headers::LEAVING, 1);
        }
        builder
            .status(status)
            .header(Headers::SERVICE, settings.service.as_str())
            .header(Headers::VERSION, settings.version.as_str())
            .header(Headers::INSTANCE, self.state.instance().to_string())
            .header(Headers::REQUEST, run.request.as_str())
            .header(Headers::CALL, run.call.as_str())
    }
}

/// Builds the answer; its headers come from a request's headers or from settings, which are valid.
fn complete(builder: http::response::Builder, body: Body) -> http::Response<Body> {
    let answer = builder.body(body);
    answer.unwrap_or_else(|error| {
        log::error!(error:% = error; "an answer cannot be built");
        let mut answer = http::Response::new(Body::whole(Bytes::new()));
        *answer.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
        answer
    })
}

impl web::Handler for Duty {
    type Body = Body;

    async fn handle(self, request: http::Request<Incoming>) -> http::Response<Body> {
        let (parts, body) = request.into_parts();
        let mut ask = self.read(&parts);
        self.state.record(|record| record.counts_mut().arrived += 1);
        let Some(slot) = self.state.take_slot() else {
            self.state.record(|record| record.counts_mut().shed += 1);
            return self.refuse(&ask.run, http::StatusCode::SERVICE_UNAVAILABLE, "not-run");
        };
        let Some(length) = Self::receive(body).await else {
            self.state.record(|record| record.counts_mut().broken += 1);
            return self.refuse(&ask.run, http::StatusCode::BAD_REQUEST, "not-run");
        };
        ask.run.body_bytes = length;
        let late = ask
            .deadline
            .is_some_and(|deadline| deadline <= time::Instant::now());
        if late {
            self.state.record(|record| record.counts_mut().late += 1);
            return self.refuse(&ask.run, http::StatusCode::GATEWAY_TIMEOUT, "not-run");
        }
        let answer = self.execute(ask).await;
        drop(slot);
        answer
    }
}
