//! A request that runs at the backend server.

use std::time;

use admission::Permit;
use upstream::{Cause, Failure};

use super::fingerprint::Fingerprint;
use super::{Owner, Served, broken_body};
use crate::call::{Ended, Envelope, Headers, Problem, Reason, Source, Watch};

/// A request that runs at the backend server.
pub struct Serving<L> {
    /// The owner that runs it.
    pub(super) owner: Owner<L>,
    /// Its place at the gate, until it has ended.
    pub(super) permit: Option<Permit>,
    /// What it is known by after a crash.
    pub(super) fingerprint: Fingerprint,
}

impl<L: peer::Link> Serving<L> {
    /// The backend server answered.
    pub(super) fn answer(
        mut self,
        reply: upstream::Reply,
        envelope: &Envelope,
    ) -> Result<Served<L>, Problem> {
        if is_shed(&reply.response, envelope) {
            if let Some(permit) = self.permit.take() {
                permit.shed();
            }
            return Err(Problem::later(Reason::Shed));
        }
        self.owner.count(|counts| counts.answered += 1);
        let (mut parts, source) = Source::split(reply);
        Headers::strip_hop(&mut parts.headers);
        Headers::strip_answer(&mut parts.headers);
        Headers::set(
            &mut parts.headers,
            Headers::OUTCOME,
            upstream::Outcome::Ran.as_str(),
        );
        Ok(Served {
            parts,
            source,
            watch: Some(self),
        })
    }

    /// The deadline passed without an answer.
    pub(super) fn expire(&mut self) {
        if let Some(permit) = self.permit.take() {
            // The time until now is the least that the answer would have taken.
            permit.finish(time::Instant::now());
        }
    }

    /// The backend server did not answer.
    pub(super) fn fail(&mut self, failure: Failure, instance: u64) -> Problem {
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
                Problem::later(Reason::Shed)
            }
            Cause::Broken => {
                self.owner.accuse(self.fingerprint.value(), instance, alone);
                Problem::unknown(Reason::Crashed)
            }
            _ => failure.into(),
        }
    }
}

impl<L: peer::Link> Watch for Serving<L> {
    fn end(mut self, ended: Ended) {
        match ended {
            Ended::Whole => {
                if let Some(permit) = self.permit.take() {
                    permit.finish(time::Instant::now());
                }
                let owner = &self.owner;
                owner.count(|counts| counts.finished += 1);
                let sharing = &owner.shared.sharing;
                sharing.finish(self.fingerprint.value(), || owner.others());
            }
            Ended::Broken => self.owner.count(|counts| counts.truncated += 1),
            Ended::Dropped => {
                self.owner.count(|counts| counts.cancelled += 1);
                self.fingerprint.payload.abandon();
            }
        }
    }
}

/// Whether the backend server says that it has not run the request.
///
/// The id is that of this attempt only, so that an answer to a call that the backend server has
/// made itself, and passes on, cannot be taken for its own refusal.
fn is_shed<B>(response: &http::Response<B>, envelope: &Envelope) -> bool {
    use http::StatusCode;
    const SHED: [StatusCode; 3] = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::GATEWAY_TIMEOUT,
    ];
    let says = |name, text: &str| {
        response
            .headers()
            .get(name)
            .is_some_and(|value| value == text)
    };
    SHED.contains(&response.status())
        && says(Headers::OUTCOME, upstream::Outcome::NotRun.as_str())
        && says(Headers::REQUEST, &envelope.request)
}
