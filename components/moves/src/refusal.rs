//! Why a command is refused.

use compact_str::CompactString;

use crate::Id;

units::record! { eq:
    /// Why a command is refused; except for `Unknown` it has changed nothing.
    #[derive(thiserror::Error)]
    pub enum Refusal {
        /// A field is malformed.
        #[error("{0}")]
        Invalid(CompactString),
        /// There is no such move.
        #[error("there is no move `{0}`")]
        NoMove(CompactString),
        /// There is no such service.
        #[error("there is no service `{0}`")]
        NoService(CompactString),
        /// The old version has no share to give.
        #[error("version `{0}` has no share of the service's traffic")]
        NoShare(CompactString),
        /// No backend server of the new version is ready.
        #[error("no backend server of version `{0}` is ready")]
        NotReady(CompactString),
        /// A move of the service is running.
        #[error("move `{0}` of the service is running")]
        Running(Id),
        /// The plan does not fit before the deadline.
        #[error("the deadline is too near; the earliest for these steps is {0}")]
        TooNear(units::Wall),
        /// The move has ended already.
        #[error("move `{0}` has ended already")]
        Ended(Id),
        /// The platform, or this node's list of moves, cannot be used now.
        #[error("the platform cannot be reached; nothing has changed")]
        Unavailable,
        /// It may have taken effect; the same command again settles it.
        #[error("the answer of the platform is lost; the same command again settles it")]
        Unknown,
    }
}

/// What kind of refusal it is, for the status code of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The request itself is wrong.
    Invalid,
    /// What it names does not exist.
    Missing,
    /// It is not allowed as things stand.
    Precondition,
    /// It may be tried again; nothing has changed.
    Unavailable,
    /// It may have taken effect.
    Unknown,
}

impl Refusal {
    /// What kind of refusal it is.
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
