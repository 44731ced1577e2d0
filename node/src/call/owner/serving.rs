//! A request that runs at the backend server.

use std::time;

use admission::{Permit, Statement};
use upstream::{Cause, Failure};

use super::fingerprint::Fingerprint;
use super::{Beside, Owner, Served, broken_body};
use crate::call::{Dialect, Ended, Envelope, Headers, Problem, Reason, Source, Watch};

/// A request that runs at the backend server.
pub struct Serving<L, D> {
    /// The owner that runs it.
    pub(super) owner: Owner<L, D>,
    /// Its place at the gate, until it has ended.
    pub(super) permit: Option<Permit>,
    /// Counts it among what runs.
    pub(super) _run: admission::Run,
    /// What it is known by after a crash.
    pub(super) fingerprint: Fingerprint,
    /// Start of the backend server that has it.
    pub(super) instance: u64,
    /// When it was sent there.
    pub(super) sent: time::Instant,
}

impl<L: peer::Link, D: Dialect> Serving<L, D> {
    /// The backend server answered.
    pub(super) fn answer(
        mut self,
        reply: upstream::Reply,
        sent: &http::HeaderMap,
        envelope: &Envelope,
    ) -> Result<Served<L, D>, Problem> {
        let (mut parts, source) = Source::split(reply);
        let dialect = &self.owner.shared.context.dialect;
        if !dialect.is_match(sent, &parts) {
            self.owner.count(|counts| counts.mismatched += 1);
            source.retire();
            return Err(Problem::unknown(Reason::Mismatched));
        }
        let statement = dialect.statement(&parts);
        let is_unexecuted = dialect.is_unexecuted(&parts, envelope);
        // A rejection that names no rate may not come from where rates are known.
        if !is_unexecuted || statement != Statement::default() {
            self.owner
                .hear(self.instance, statement, &envelope.request, self.sent);
        }
        if is_unexecuted {
            self.owner.count(|counts| counts.shed += 1);
            if let Some(permit) = self.permit.take() {
                permit.shed();
            }
            return Err(Problem::later(Reason::Shed));
        }
        self.owner.count(|counts| counts.answered += 1);
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
    ///
    /// A connection that broke has only lost the answer when the backend server is still there.
    pub(super) async fn fail(&mut self, failure: Failure, beside: &Beside) -> Problem {
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
            Cause::Broken if beside.server.is_up().await => failure.into(),
            Cause::Broken => {
                let fingerprint = self.fingerprint.value();
                self.owner.accuse(fingerprint, beside.instance, alone);
                Problem::unknown(Reason::Crashed)
            }
            _ => failure.into(),
        }
    }
}

impl<L: peer::Link, D: Dialect> Watch for Serving<L, D> {
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
