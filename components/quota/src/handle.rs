//! Access of the request path to quotas.

use std::rc;
use std::time;

use units::Uptime;

use crate::shared::Shared;
use crate::{Take, hash};

/// Access of the request path to quotas; without a service behind it nothing is limited.
#[derive(Clone, Default)]
pub struct Handle {
    shared: Option<rc::Rc<Shared>>,
}

/// Proof that a request may be sent.
#[must_use]
#[derive(Debug, Clone, Copy, Default)]
pub struct Token {
    /// Workspace, and the number of the last report when the token was taken.
    taken: Option<(u64, u64)>,
}

/// Reason for which there is no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The quota is used up; time until there is room.
    Exceeded(time::Duration),
    /// No node grants at present.
    Unavailable,
}

/// Removes a request from those that wait.
struct Waiting<'s> {
    shared: &'s Shared,
    workspace: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.shared.end_wait(self.workspace);
    }
}

impl Handle {
    pub(crate) fn new(shared: rc::Rc<Shared>) -> Self {
        Self {
            shared: Some(shared),
        }
    }

    /// Takes a token for a request of `workspace`, and waits for one for at most `patience`.
    ///
    /// # Errors
    /// [`Refusal`] when there is none.
    pub async fn take(&self, workspace: &str, patience: time::Duration) -> Result<Token, Refusal> {
        let Some(shared) = self.shared.as_ref().filter(|_| !workspace.is_empty()) else {
            return Ok(Token::default());
        };
        let workspace = hash(workspace);
        let now = Uptime::now();
        shared.arrive(workspace, now);
        let token = match shared.take(workspace, now) {
            Take::Missing => Self::wait(shared, workspace, now + patience).await,
            take => Self::resolve(workspace, take),
        };
        shared.count_take(workspace, token.as_ref().err());
        token
    }

    /// Gives the token of a request back that reached no backend server.
    pub fn give_back(&self, token: Token) {
        if let Some((shared, (workspace, taken))) = self.shared.as_ref().zip(token.taken) {
            shared.give_back(workspace, taken);
        }
    }

    async fn wait(shared: &Shared, workspace: u64, until: Uptime) -> Result<Token, Refusal> {
        shared.wait(workspace);
        let _waiting = Waiting { shared, workspace };
        loop {
            let left = until.saturating_since(Uptime::now());
            if left.is_zero() {
                return Err(shared.late());
            }
            let changed = shared.changed();
            let _ = compio::time::timeout(left, changed).await;
            match shared.take(workspace, Uptime::now()) {
                Take::Missing => shared.ask(workspace),
                take => return Self::resolve(workspace, take),
            }
        }
    }

    fn resolve(workspace: u64, take: Take) -> Result<Token, Refusal> {
        match take {
            Take::Unlimited => Ok(Token::default()),
            Take::Taken(taken) => Ok(Token {
                taken: Some((workspace, taken)),
            }),
            Take::Exhausted(room) => Err(Refusal::Exceeded(room)),
            Take::Missing => Err(Refusal::Unavailable),
        }
    }
}
