//! Requests in execution at the backend server.

use std::time;

use admission::{Permit, Signals};
use upstream::{Cause, Failure};

use super::fingerprint::Fingerprint;
use super::{Backend, Owner, Served, broken_body};
use crate::call::{BodyEnd, BodyObserver, Dialect, Envelope, Headers, Problem, Reason, Source};

/// Largest status that an answer may have (RFC 9110, section 15); the library takes any of three digits.
const LAST_STATUS: u16 = 599;

/// A request in execution at the backend server.
pub struct Execution<L, D> {
    pub(super) owner: Owner<L, D>,
    /// Permit of the gate, held until the request ends.
    pub(super) permit: Option<Permit>,
    /// Entry in the count of running requests.
    pub(super) _run: admission::Run,
    /// Fingerprint that identifies the request after a crash.
    pub(super) fingerprint: Fingerprint,
    /// Instance of the backend server that runs the request.
    pub(super) instance: u64,
    /// Time at which the request was sent to the backend server.
    pub(super) sent: time::Instant,
}

impl<L: peer::Link, D: Dialect> Execution<L, D> {
    /// Processes the response of the backend server.
    pub(super) fn answer(
        mut self,
        reply: upstream::Reply,
        sent: &http::HeaderMap,
        envelope: &Envelope,
    ) -> Result<Served<L, D>, Problem> {
        let is_first = reply.is_first;
        let (mut parts, source) = Source::split(reply);
        if parts.status.as_u16() > LAST_STATUS {
            self.owner.count(|counts| counts.mismatched += 1);
            source.retire();
            return Err(Problem::unknown(Reason::NoStatus));
        }
        let dialect = &self.owner.shared.context.dialect;
        if !dialect.is_match(sent, &parts, is_first) {
            self.owner.count(|counts| counts.mismatched += 1);
            source.retire();
            return Err(Problem::unknown(Reason::Mismatched));
        }
        let signals = dialect.signals(&parts);
        let is_unexecuted = dialect.is_unexecuted(&parts, envelope);
        // A rejection without a rate limit may come from a component that does not know the limit.
        if !is_unexecuted || signals != Signals::default() {
            self.owner
                .apply_signals(self.instance, signals, &envelope.request, self.sent);
        }
        if is_unexecuted {
            self.owner.count(|counts| counts.shed += 1);
            if let Some(permit) = self.permit.take() {
                permit.shed();
            }
            return Err(Problem::retryable(Reason::Shed));
        }
        let is_unframed = source.is_unframed(&parts);
        if is_unframed && !web::says_close(&parts.headers) {
            // A head that broke off before its length, as no server that means to close leaves that out
            // (RFC 9112, section 9.6).
            self.owner.count(|counts| counts.truncated += 1);
            source.retire();
            return Err(Problem::unknown(Reason::Failed(Cause::Broken)));
        }
        self.owner.count(|counts| counts.answered += 1);
        Headers::strip_hop(&mut parts.headers);
        Headers::strip_answer(&mut parts.headers);
        if is_unframed {
            Headers::set(&mut parts.headers, Headers::UNFRAMED, "1");
        }
        Headers::set(
            &mut parts.headers,
            Headers::OUTCOME,
            upstream::Outcome::Ran.as_str(),
        );
        Ok(Served {
            parts,
            source,
            observer: Some(self),
        })
    }

    /// Ends the request when the deadline passes without a response.
    pub(super) fn expire(&mut self) {
        if let Some(permit) = self.permit.take() {
            // The time until now is the least that the response would have taken.
            permit.finish(time::Instant::now());
        }
    }

    /// Ends the request after a failure of the backend server to respond.
    ///
    /// A broken connection means only a lost response if the backend server is still up.
    pub(super) async fn fail(&mut self, failure: Failure, backend: &Backend) -> Problem {
        let payload = &self.fingerprint.payload;
        if payload.fault().is_some() {
            return broken_body(payload, failure.outcome());
        }
        let permit = self.permit.take();
        let alone = permit.as_ref().is_some_and(Permit::is_alone);
        match failure.cause {
            Cause::Refused => {
                if let Some(permit) = permit {
                    permit.shed();
                }
                Problem::retryable(Reason::Shed)
            }
            Cause::Broken if backend.server.is_up().await => failure.into(),
            Cause::Broken => {
                self.owner.suspect_restart();
                let fingerprint = self.fingerprint.value();
                self.owner
                    .report_crash(fingerprint, backend.instance, alone);
                Problem::unknown(Reason::Crashed)
            }
            Cause::Connect => {
                // All connections may be in use, which says nothing of a restart.
                let warms_up = self.owner.shared.gate.warms_up();
                if warms_up && !backend.server.is_up().await {
                    self.owner.suspect_restart();
                }
                failure.into()
            }
            _ => failure.into(),
        }
    }
}

impl<L: peer::Link, D: Dialect> BodyObserver for Execution<L, D> {
    fn end(mut self, ended: BodyEnd) {
        match ended {
            BodyEnd::Complete => {
                if let Some(permit) = self.permit.take() {
                    permit.finish(time::Instant::now());
                }
                let owner = &self.owner;
                owner.count(|counts| counts.finished += 1);
                let shared_suspects = &owner.shared.shared_suspects;
                shared_suspects.finish(self.fingerprint.value(), || owner.other_owners());
            }
            BodyEnd::Truncated => self.owner.count(|counts| counts.truncated += 1),
            BodyEnd::Dropped => {
                self.owner.count(|counts| counts.cancelled += 1);
                self.fingerprint.payload.abandon();
            }
        }
    }
}
