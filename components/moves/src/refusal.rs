//! Refusals of commands.

use compact_str::CompactString;

use crate::Id;

units::record! { eq:
    /// Reason for refusing a command; except for `Unknown`, the command has changed nothing.
    #[derive(thiserror::Error)]
    pub enum Refusal {
        /// A field is malformed.
        #[error("{0}")]
        Invalid(CompactString),
        /// The move does not exist.
        #[error("there is no move `{0}`")]
        NoMove(CompactString),
        /// The service does not exist.
        #[error("there is no service `{0}`")]
        NoService(CompactString),
        /// The old version has no share that could be moved.
        #[error("version `{0}` has no share of the service's traffic")]
        NoShare(CompactString),
        /// No backend server of the new version is ready.
        #[error("no backend server of version `{0}` is ready")]
        NotReady(CompactString),
        /// Another move of the service is running.
        #[error("move `{0}` of the service is running")]
        Running(Id),
        /// The plan does not fit into the time before the deadline.
        #[error("the deadline is too near; the earliest for these steps is {0}")]
        TooNear(units::Wall),
        /// The move has ended already.
        #[error("move `{0}` has ended already")]
        Ended(Id),
        /// The platform, or this node's list of moves, is unavailable.
        #[error("the platform cannot be reached; nothing has changed")]
        Unavailable,
        /// The command may have taken effect; repeating it gives the outcome.
        #[error("the answer of the platform was lost; repeat the same command to get the outcome")]
        Unknown,
    }
}

/// Kind of a refusal, from which the status code of the answer follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The request itself is invalid.
    Invalid,
    /// The named move or service does not exist.
    Missing,
    /// The current state does not allow the command.
    Precondition,
    /// The command may be retried; nothing has changed.
    Unavailable,
    /// The command may have taken effect.
    Unknown,
}

impl Refusal {
    /// Kind of the refusal.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Invalid(_) => Kind::Invalid,
            Self::NoMove(_) | Self::NoService(_) => Kind::Missing,
            Self::NoShare(_)
            | Self::NotReady(_)
            | Self::Running(_)
            | Self::TooNear(_)
            | Self::Ended(_) => Kind::Precondition,
            Self::Unavailable => Kind::Unavailable,
            Self::Unknown => Kind::Unknown,
        }
    }
}
