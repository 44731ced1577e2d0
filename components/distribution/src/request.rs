//! Requests of other services to the distribution service.

use config::{Change, Findings};
use futures_channel::oneshot;

/// A request to the distribution service; it is sent through its mailbox.
#[derive(Debug)]
pub enum Command {
    /// Accept a change into the log, or only validate it.
    Accept {
        /// The change.
        change: Change,
        /// Only validate it.
        dry_run: bool,
        /// Takes the verdict.
        answer: oneshot::Sender<Verdict>,
    },
    /// Say how an operation ended.
    Settle {
        /// The operation.
        operation: units::Operation,
        /// Takes the verdict; [`Verdict::Unavailable`] when it cannot be known now.
        answer: oneshot::Sender<Verdict>,
    },
    /// Collect on how many nodes a version is in force.
    Status {
        /// The version; zero means the newest known.
        version: units::Version,
        /// Takes the answer.
        answer: oneshot::Sender<schema::operator::StatusReply>,
    },
}

units::record! { eq:
    /// What became of a change.
    pub enum Verdict {
        /// It is in the log.
        Accepted(Accepted),
        /// A dry run found nothing wrong.
        Valid,
        /// It is not in the log, because it is invalid.
        Refused(Findings),
        /// It is not in the log, because a resource changed meanwhile.
        Conflict(Findings),
        /// It is not in the log: the platform cannot be reached and nothing was sent.
        Unavailable,
        /// It may be in the log; ask later by its operation id.
        Unknown,
        /// No such operation is in the log.
        Missing,
    }

    /// A place in the log.
    pub struct Accepted {
        /// Version at which the change took effect.
        pub version: units::Version,
    }
}
