//! A single attempt of a request, at this node or another one.

use std::time;

use compact_str::{CompactString, ToCompactString, format_compact};
use routing::{Endpoint, Observer, Sample};
use upstream::{Outcome, Patience};

use super::delivery::Delivery;
use super::history::History;
use super::{Answer, Arrival, Dialect, Ingress, Key, Problem, Progress, Reason, Target, hash_text};
use crate::call::owner::{Execution, Job, broken_body, build_request};
use crate::call::{Attempt, BackendStatus, Envelope, Headers, Source, Stamp, WorkReport};

impl<L: peer::Link, O: Observer, D: Dialect> Ingress<L, O, D> {
    pub(super) fn envelope(
        &self,
        arrival: &Arrival,
        endpoint: &Endpoint,
        attempts: u32,
        history: &History,
        key: Option<Key>,
    ) -> Envelope {
        let time_left = arrival.time_left();
        let margin = (time_left / Self::DEADLINE_MARGIN_DIVISOR).min(Self::DEADLINE_MARGIN_MAX);
        Envelope {
            request: format_compact!("{}.{:x}", arrival.id, self.next_id()),
            deadline: arrival
                .deadline
                .checked_sub(margin)
                .unwrap_or(arrival.deadline),
            route: hash_text(&arrival.route.name),
            target: arrival.target,
            priority: arrival.priority(),
            workspace: arrival.workspace.clone(),
            attempt: arrival.attempt.saturating_add(attempts - 1),
            depth: arrival.depth,
            service: endpoint.service.clone(),
            version: endpoint.version.clone(),
            caller: arrival.caller.clone(),
            repeat: admission::Repeat {
                resent: history.reached > 0,
                called_again: arrival.called_again,
            },
            suspect: history.suspect,
            backend_status: self.known_status(endpoint),
            key,
        }
    }

    /// Sends one attempt and waits for its response.
    pub(super) async fn attempt(
        &self,
        arrival: &Arrival,
        target: Target,
        envelope: Envelope,
        progress: &Progress,
    ) -> Result<Answer<L, O, D>, Problem> {
        self.check_credential(arrival)?;
        self.count(|counts| {
            counts.attempts += 1;
            counts.retries += u64::from(envelope.attempt > arrival.attempt);
        });
        let settings = self.shared.context.settings.clone();
        let now = time::Instant::now();
        let baseline = arrival.baseline.clone();
        let mut attempt = Attempt::new(&target.endpoint, target.group, baseline, settings, now);
        progress.start(attempt.endpoint());
        let result = if attempt.endpoint().own {
            self.send_local(arrival, envelope, attempt.endpoint()).await
        } else {
            self.send_remote(arrival, &envelope, attempt.endpoint())
                .await
        };
        match result {
            Ok((parts, source, owner)) => {
                progress.answer();
                attempt.answer(parts.status);
                arrival.record_size(&parts);
                let delivery = Delivery {
                    ingress: self.clone(),
                    attempt,
                    owner,
                    payload: arrival.payload.clone(),
                    route: arrival.route.name.clone(),
                    status: parts.status,
                    bulkhead_entry: None,
                };
                Ok(Answer {
                    parts,
                    source,
                    delivery,
                })
            }
            Err(problem) => {
                progress.end(problem);
                let ejected = attempt.end(&problem);
                self.count(|counts| counts.ejected += u64::from(ejected));
                self.observe_problem(arrival, &attempt, &problem);
                Err(problem)
            }
        }
    }

    /// Passes an attempt to the owner in this process.
    pub(super) async fn send_local(
        &self,
        arrival: &Arrival,
        envelope: Envelope,
        endpoint: &Endpoint,
    ) -> Result<(http::response::Parts, Source, Option<Execution<L, D>>), Problem> {
        let job = Job {
            envelope,
            head: arrival.head(),
            payload: arrival.payload.clone(),
        };
        let kind = job.kind();
        let served = self.shared.owner.serve(job).await;
        let backend_status = self.shared.owner.backend_status(served.as_ref().err());
        self.apply_status(endpoint, backend_status, served.is_ok());
        if let Some(report) = self.shared.owner.work_report(kind) {
            let report = WorkReport::convert(&report);
            endpoint.record_work(&report, &arrival.baseline, time::Instant::now());
        }
        let served = served?;
        Ok((served.parts, served.source, served.observer))
    }

    /// Sends an attempt to the owner of `endpoint` over the mesh.
    pub(super) async fn send_remote(
        &self,
        arrival: &Arrival,
        envelope: &Envelope,
        endpoint: &Endpoint,
    ) -> Result<(http::response::Parts, Source, Option<Execution<L, D>>), Problem> {
        let Some(feed) = arrival.payload.feed() else {
            return Err(broken_body(&arrival.payload, Outcome::NotRun));
        };
        let mut head = arrival.head();
        envelope.write(&mut head.headers, time::Instant::now());
        self.shared
            .context
            .write_configuration_version(&mut head.headers);
        let stamp = Stamp::now(self.shared.id_prefix).to_compact_string();
        Headers::set(&mut head.headers, Headers::SENT, &stamp);
        let headers = std::mem::take(&mut head.headers);
        let request = build_request(&head, headers, endpoint.address, feed)?;
        let pool = self.shared.owner.pools().get(endpoint.address);
        let patience = if arrival.idempotent {
            Patience::Silence
        } else {
            Patience::Answer
        };
        let sent = pool.send(request, patience).await;
        let reply = match sent {
            Ok(reply) => reply,
            Err(failure) if arrival.payload.fault().is_some() => {
                return Err(broken_body(&arrival.payload, failure.outcome()));
            }
            Err(failure) => return Err(failure.into()),
        };
        let (parts, source) = Source::split(reply);
        self.shared
            .context
            .apply_configuration_version(&parts.headers);
        self.check_match(&parts.headers, envelope)?;
        let now = time::Instant::now();
        if let Some(load) = Headers::number(&parts.headers, &Headers::LOAD) {
            // Loads are small numbers.
            #[allow(clippy::cast_precision_loss)]
            endpoint.record_load(load as f64 / 10_000.0, now);
        }
        if let Some(report) = WorkReport::read(&parts.headers) {
            endpoint.record_work(&report, &arrival.baseline, now);
        }
        let problem = Problem::read(&parts.headers);
        self.apply_status(
            endpoint,
            BackendStatus::read(&parts.headers),
            problem.is_none(),
        );
        match problem {
            Some(problem) => Err(problem),
            None => Ok((parts, source, None)),
        }
    }

    /// Verifies that a response belongs to the attempt.
    pub(super) fn check_match(
        &self,
        headers: &http::HeaderMap,
        envelope: &Envelope,
    ) -> Result<(), Problem> {
        let id = headers.get(Headers::REQUEST);
        if id.is_some_and(|id| id == envelope.request.as_str()) {
            return Ok(());
        }
        self.count(|counts| counts.mismatched += 1);
        log::error!(request = envelope.request.as_str();
            "invariant violated: response belongs to another request");
        Err(Problem::unknown(Reason::Mismatched))
    }

    /// Reports an attempt to the observer if the version caused its failure.
    pub(super) fn observe_problem(&self, arrival: &Arrival, attempt: &Attempt, problem: &Problem) {
        let crashed = problem.reason.is(Reason::Crashed);
        let late = problem.reason.is(Reason::Deadline) && problem.outcome == Outcome::Unknown;
        if crashed || late {
            self.observe(attempt, &arrival.route.name, true);
        }
    }

    /// Reports a request whose deadline passed before a response arrived: its version is slow,
    /// whether or not its owner was still able to report that.
    pub(super) fn observe_unanswered(&self, arrival: &Arrival, progress: &Progress) {
        if let Some(in_flight) = progress.in_flight() {
            let latency = in_flight.since.elapsed();
            self.report_sample(&in_flight.endpoint, latency, &arrival.route.name, true);
        }
    }

    pub(super) fn observe(&self, attempt: &Attempt, route: &CompactString, failed: bool) {
        self.report_sample(attempt.endpoint(), attempt.elapsed(), route, failed);
    }

    fn report_sample(
        &self,
        endpoint: &Endpoint,
        latency: time::Duration,
        route: &CompactString,
        failed: bool,
    ) {
        self.shared.observer.observe(&Sample {
            service: endpoint.service.clone(),
            version: endpoint.version.clone(),
            route: route.clone(),
            failed,
            latency,
        });
    }
}
