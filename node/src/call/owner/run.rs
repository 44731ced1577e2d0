//! Execution of requests at the backend server.

use std::time;

use admission::{Permit, Request, Standing};
use upstream::{Payload, Sending, Server};
use xxhash_rust::xxh3;

use super::fingerprint::Fingerprint;
use super::request::{build_http1, build_request};
use super::{Backend, Execution, Job, Owner, Served};
use crate::call::{Dialect, Envelope, Headers, Problem, Reason};

impl<L: peer::Link, D: Dialect> Owner<L, D> {
    /// Runs one request at the backend server.
    pub(crate) async fn run(&self, job: &Job) -> Result<Served<L, D>, Problem> {
        self.check_withheld(&job.envelope)?;
        if let Some(backend_status) = &job.envelope.backend_status {
            self.apply_known_rate(backend_status);
        }
        self.check_repeat(&job.envelope)?;
        let caller = self
            .shared
            .context
            .dialect
            .fingerprint_caller(&job.envelope);
        let fingerprint = Fingerprint::new(&job.head, caller, job.payload.clone());
        let permit = self.admit(job, &fingerprint).await?;
        let backend = self.shared.backend.borrow().clone();
        let Some(backend) = backend else {
            return Err(Problem::retryable(Reason::Refused(
                admission::Reason::NoBackend,
            )));
        };
        let Some(feed) = job.payload.feed() else {
            return Err(broken_body(&job.payload, upstream::Outcome::NotRun));
        };
        let request = self.request(job, &backend, feed)?;
        // Other requests may have been admitted while this one waited.
        self.check_repeat(&job.envelope)?;
        let sent = request.headers().clone();
        let repeat = job.envelope.repeat;
        self.count(|counts| {
            counts.sent += 1;
            counts.resent += u64::from(repeat.resent);
        });
        let mut execution = Execution {
            owner: self.clone(),
            permit,
            _run: self
                .shared
                .repeats
                .start(repeat, job.envelope.depth, time::Instant::now()),
            fingerprint,
            instance: backend.instance,
            sent: time::Instant::now(),
        };
        let deadline = job.envelope.deadline;
        let sending = Box::pin(backend.server.send(request));
        match compio::time::timeout_at(deadline, sending).await {
            Ok(Ok(reply)) => execution.answer(reply, &sent, &job.envelope),
            Ok(Err(failure)) => Err(execution.fail(failure, &backend).await),
            Err(_) => {
                job.payload.abandon();
                execution.expire();
                Err(Problem::unknown(Reason::Deadline))
            }
        }
    }

    /// Waits until the request may run; `None` in the baseline mode, which has no limits.
    async fn admit(&self, job: &Job, fingerprint: &Fingerprint) -> Result<Option<Permit>, Problem> {
        if self.shared.context.settings.baseline {
            return Ok(None);
        }
        let alone = self.must_run_alone(job, fingerprint).await?;
        self.refresh_warmup();
        let request = Request {
            caller: job.envelope.caller.clone(),
            workspace: job.envelope.workspace.clone(),
            service: job.envelope.service.clone(),
            version: job.envelope.version.clone(),
            route: job.kind(),
            priority: job.envelope.priority,
            target: job.envelope.target,
            deadline: job.envelope.deadline,
            alone,
        };
        Ok(Some(self.shared.gate.admit(&request).await?))
    }

    /// Returns whether the request has to run alone.
    async fn must_run_alone(&self, job: &Job, fingerprint: &Fingerprint) -> Result<bool, Problem> {
        let shared_suspects = &self.shared.shared_suspects;
        if shared_suspects.is_empty() && !job.envelope.suspect {
            return Ok(false);
        }
        let reading = job.payload.read_head();
        if compio::time::timeout_at(job.envelope.deadline, reading)
            .await
            .is_err()
        {
            return Err(Problem::refused(Reason::Deadline));
        }
        let value = fingerprint.value();
        match shared_suspects.standing(value, time::Instant::now()) {
            Standing::Quarantined(left) => Err(Problem {
                retry_after: Some(left),
                ..Problem::refused(Reason::Refused(admission::Reason::Quarantined))
            }),
            Standing::Suspect => Ok(true),
            Standing::Clean => Ok(job.envelope.suspect && !shared_suspects.has_finished(value)),
        }
    }

    /// Builds the request for the backend server.
    fn request(
        &self,
        job: &Job,
        backend: &Backend,
        feed: upstream::Feed,
    ) -> Result<http::Request<upstream::Feed>, Problem> {
        let mut headers = job.head.headers.clone();
        Headers::strip_hop(&mut headers);
        Headers::strip_internal(&mut headers);
        let dialect = &self.shared.context.dialect;
        dialect.write(
            &job.envelope,
            &backend.id,
            &mut headers,
            time::Instant::now(),
        );
        let mut request = match &backend.server {
            Server::Http1(_) => build_http1(&job.head, headers, feed)?,
            Server::Http2(_) => build_request(&job.head, headers, backend.server.address(), feed)?,
        };
        request.extensions_mut().insert(Sending {
            identity: xxh3::xxh3_64(job.envelope.caller_request().as_bytes()),
            header: dialect.deadline_header(),
            deadline: job.envelope.deadline,
        });
        Ok(request)
    }

    /// Refuses requests from an ingress that does not know yet that the version is withheld.
    fn check_withheld(&self, envelope: &Envelope) -> Result<(), Problem> {
        let withheld = &self.shared.context.withheld;
        if withheld.contains(&envelope.service, &envelope.version) {
            return Err(Problem::retryable(Reason::Withheld));
        }
        Ok(())
    }
}

/// Returns the problem for a request whose body was truncated.
pub(crate) fn broken_body(payload: &Payload, outcome: upstream::Outcome) -> Problem {
    let reason = match payload.fault() {
        Some(upstream::Fault::TooLong) => Reason::BodyTooLong,
        _ => Reason::BodyBroken,
    };
    Problem {
        outcome,
        ..Problem::refused(reason)
    }
}
