//! Keys of callers, and the workspaces that they belong to.

use config::{Route, Workspace};
use routing::Observer;

use super::{Arrival, Dialect, Ingress, Problem, Reason};
use crate::call::Credential;

impl<L: peer::Link, O: Observer, D: Dialect> Ingress<L, O, D> {
    /// Takes the credential off a request for `route`, and returns it where it is the key of a
    /// workspace. Where the configuration needs no keys the request stays as it is.
    ///
    /// # Errors
    /// [`Reason::KeyRefused`], or [`Reason::EvidenceTooOld`] where this node cannot tell.
    pub(super) fn identify(
        &self,
        headers: &mut http::HeaderMap,
        route: &Route,
        id: &str,
    ) -> Result<Credential, Problem> {
        let context = &self.shared.context;
        let snapshot = context.holder.get();
        if !snapshot.needs_keys() {
            return Ok(Credential::Missing);
        }
        let credential = context.dialect.take_credential(headers);
        let is_known = match &credential {
            Credential::Key(key) => snapshot.workspace_of(key).is_some(),
            Credential::Missing | Credential::Malformed => false,
        };
        if is_known {
            self.check_certainty(id)?;
            return Ok(credential);
        }
        if route.public {
            return Ok(Credential::Missing);
        }
        Err(self.refuse(credential, id))
    }

    /// Adds the workspace of `credential` to a request.
    pub(super) fn assign_workspace(&self, arrival: &mut Arrival, credential: Credential) {
        let Credential::Key(key) = credential else {
            return;
        };
        let snapshot = self.shared.context.holder.get();
        if let Some(workspace) = snapshot.workspace_of(&key) {
            arrival.workspace = workspace.name.clone();
            arrival.workspace_priority = workspace.priority;
            arrival.credential = credential;
        }
    }

    /// Checks again, before an attempt is sent, that the key of a request is valid: time may have
    /// passed, and the key may have been withdrawn.
    ///
    /// # Errors
    /// [`Reason::KeyRefused`] or [`Reason::EvidenceTooOld`].
    pub(super) fn check_credential(&self, arrival: &Arrival) -> Result<(), Problem> {
        let Credential::Key(key) = &arrival.credential else {
            return Ok(());
        };
        self.check_certainty(&arrival.id)?;
        let snapshot = self.shared.context.holder.get();
        let is_same = |workspace: &Workspace| workspace.name == arrival.workspace;
        match snapshot.workspace_of(key).is_some_and(is_same) {
            true => Ok(()),
            false => Err(self.refuse(arrival.credential, &arrival.id)),
        }
    }

    /// Checks that a withdrawal of a key would be known here.
    fn check_certainty(&self, id: &str) -> Result<(), Problem> {
        if self.shared.context.certainty.is_certain() {
            return Ok(());
        }
        Err(self.doubt(id))
    }

    /// The problem of a request with a key that no workspace holds. Callers take a refused key as final,
    /// so it is refused only where a new key would be known.
    fn refuse(&self, credential: Credential, id: &str) -> Problem {
        let is_key = matches!(credential, Credential::Key(_));
        if is_key && !self.shared.context.certainty.is_current() {
            return self.doubt(id);
        }
        self.count(|counts| counts.keys_refused += 1);
        let configuration = self.shared.context.holder.get().version();
        log::info!(target: telemetry::REQUESTS, event = "key-refused", request = id, configuration = configuration.0,
            sent = describe(credential); "no workspace holds the key of a request");
        Problem::refused(Reason::KeyRefused)
    }

    fn doubt(&self, id: &str) -> Problem {
        self.count(|counts| counts.evidence_too_old += 1);
        let context = &self.shared.context;
        let age_ms = context.certainty.age().map(units::millis);
        log::info!(target: telemetry::REQUESTS, event = "evidence-too-old", request = id,
            configuration = context.holder.get().version().0, certain_age_ms:? = age_ms;
            "the configuration may be too old to judge the key of a request");
        Problem::retryable(Reason::EvidenceTooOld)
    }
}

/// What a caller sent, in log lines.
fn describe(credential: Credential) -> &'static str {
    match credential {
        Credential::Missing => "nothing",
        Credential::Malformed => "malformed",
        Credential::Key(_) => "key",
    }
}
