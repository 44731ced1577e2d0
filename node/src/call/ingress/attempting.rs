//! One attempt of a request, here or at another node.

use std::time;

use compact_str::{CompactString, format_compact};
use routing::{Endpoint, Observer, Sample};
use upstream::Outcome;

use super::passage::Passage;
use super::trail::Trail;
use super::{Answer, Arrival, Dialect, Ingress, Journey, Key, Problem, Reason, Target, hash_key};
use crate::call::owner::{Job, Serving, broken_body, build};
use crate::call::{Attempt, Envelope, Headers, Need, Source};

impl<L: peer::Link, O: Observer, D: Dialect> Ingress<L, O, D> {
    pub(super) fn envelope(
        &self,
        arrival: &Arrival,
        endpoint: &Endpoint,
        attempts: u32,
        trail: &Trail,
        key: Option<Key>,
    ) -> Envelope {
        let left = arrival.left();
        let margin = (left / Self::DEADLINE_PART).min(Self::DEADLINE_MARGIN);
        Envelope {
            request: format_compact!("{}.{:x}", arrival.id, self.next_id()),
            deadline: arrival
                .deadline
                .checked_sub(margin)
                .unwrap_or(arrival.deadline),
            route: hash_key(&arrival.route.name),
            target: arrival.target,
            priority: arrival.route.priority,
            attempt: arrival.attempt.saturating_add(attempts - 1),
            depth: arrival.depth,
            service: endpoint.service.clone(),
            version: endpoint.version.clone(),
            caller: arrival.caller.clone(),
            repeat: admission::Repeat {
                resent: trail.reached > 0,
                called_again: arrival.called_again,
            },
            suspect: trail.suspect,
            need: self.known_need(endpoint),
            key,
        }
    }

    /// Sends one attempt and follows it to its answer.
    pub(super) async fn attempt(
        &self,
        arrival: &Arrival,
        target: Target,
        envelope: Envelope,
        journey: &Journey,
    ) -> Result<Answer<L, O, D>, Problem> {
        self.count(|counts| {
            counts.attempts += 1;
            counts.retries += u64::from(envelope.attempt > arrival.attempt);
        });
        let settings = self.shared.context.settings.clone();
        let now = time::Instant::now();
        let usual = arrival.usual.clone();
        let mut attempt = Attempt::new(&target.endpoint, target.group, usual, settings, now);
        journey.start(attempt.endpoint());
        let ended = if attempt.endpoint().own {
            self.send_here(arrival, envelope, attempt.endpoint()).await
        } else {
            self.send_away(arrival, &envelope, attempt.endpoint()).await
        };
        match ended {
            Ok((parts, source, owner)) => {
                journey.answer();
                attempt.answer(parts.status);
                arrival.weigh(&parts);
                let passage = Passage {
                    ingress: self.clone(),
                    attempt,
                    owner,
                    payload: arrival.payload.clone(),
                    route: arrival.route.name.clone(),
                    status: parts.status,
                    entry: None,
                };
                Ok(Answer {
                    parts,
                    source,
                    passage,
                })
            }
            Err(problem) => {
                journey.end(problem);
                let ejected = attempt.end(&problem);
                self.count(|counts| counts.ejected += u64::from(ejected));
                self.observe_problem(arrival, &attempt, &problem);
                Err(problem)
            }
        }
    }

    /// Hands an attempt to the owner in this process.
    pub(super) async fn send_here(
        &self,
        arrival: &Arrival,
        envelope: Envelope,
        endpoint: &Endpoint,
    ) -> Result<(http::response::Parts, Source, Option<Serving<L, D>>), Problem> {
        let job = Job {
            envelope,
            head: arrival.head(),
            payload: arrival.payload.clone(),
        };
        let served = self.shared.owner.serve(job).await;
        let need = self.shared.owner.need(served.as_ref().err());
        self.hear_need(endpoint, need, served.is_ok());
        let served = served?;
        Ok((served.parts, served.source, served.watch))
    }

    /// Sends an attempt to the owner of `endpoint`.
    pub(super) async fn send_away(
        &self,
        arrival: &Arrival,
        envelope: &Envelope,
        endpoint: &Endpoint,
    ) -> Result<(http::response::Parts, Source, Option<Serving<L, D>>), Problem> {
        let Some(feed) = arrival.payload.feed() else {
            return Err(broken_body(&arrival.payload, Outcome::NotRun));
        };
        let mut head = arrival.head();
        envelope.write(&mut head.headers, time::Instant::now());
        self.shared.context.tell_configuration(&mut head.headers);
        let headers = std::mem::take(&mut head.headers);
        let request = build(&head, headers, endpoint.address, feed)?;
        let pool = self.shared.owner.pools().get(endpoint.address);
        let sent = pool.send(request).await;
        let reply = match sent {
            Ok(reply) => reply,
            Err(failure) if arrival.payload.fault().is_some() => {
                return Err(broken_body(&arrival.payload, failure.outcome()));
            }
            Err(failure) => return Err(failure.into()),
        };
        let (parts, source) = Source::split(reply);
        self.shared.context.hear_configuration(&parts.headers);
        self.check_match(&parts.headers, envelope)?;
        let now = time::Instant::now();
        if let Some(load) = Headers::number(&parts.headers, &Headers::LOAD) {
            // Loads are small numbers.
            #[allow(clippy::cast_precision_loss)]
            endpoint.report(load as f64 / 10_000.0, now);
        }
        let problem = Problem::read(&parts.headers);
        self.hear_need(endpoint, Need::read(&parts.headers), problem.is_none());
        match problem {
            Some(problem) => Err(problem),
            None => Ok((parts, source, None)),
        }
    }

    /// Checks that an answer belongs to the attempt.
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
            "invariant violated: an answer belongs to another request");
        Err(Problem::unknown(Reason::Mismatched))
    }

    /// Tells the observer of an attempt that its version failed.
    pub(super) fn observe_problem(&self, arrival: &Arrival, attempt: &Attempt, problem: &Problem) {
        let crashed = problem.reason.is(Reason::Crashed);
        let late = problem.reason.is(Reason::Deadline) && problem.outcome == Outcome::Unknown;
        if crashed || late {
            self.observe(attempt, &arrival.route.name, true);
        }
    }

    /// Tells the observer of a request whose time ended before an answer came: its version is slow,
    /// whether or not its owner could still say so.
    pub(super) fn observe_unanswered(&self, arrival: &Arrival, journey: &Journey) {
        if let Some(under_way) = journey.under_way() {
            let latency = under_way.since.elapsed();
            self.tell(&under_way.endpoint, latency, &arrival.route.name, true);
        }
    }

    pub(super) fn observe(&self, attempt: &Attempt, route: &CompactString, failed: bool) {
        self.tell(attempt.endpoint(), attempt.elapsed(), route, failed);
    }

    fn tell(
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
