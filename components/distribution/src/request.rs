//! Commands that other services send to the distribution service.

use config::{Change, Findings};
use futures_channel::oneshot;

/// Command to the distribution service, sent through its mailbox.
#[derive(Debug)]
pub enum Command {
    /// Accepts a change into the log, or only validates it.
    Accept {
        /// The change.
        change: Change,
        /// Whether the change is only validated.
        dry_run: bool,
        /// Receives the verdict.
        answer: oneshot::Sender<Verdict>,
    },
    /// Returns the result of an operation.
    Settle {
        /// The operation.
        operation: units::Operation,
        /// Receives the verdict; [`Verdict::Unavailable`] if the result cannot be determined now.
        answer: oneshot::Sender<Verdict>,
    },
    /// Counts the nodes on which a version is in force.
    Status {
        /// Version to look for; zero means the newest known.
        version: units::Version,
        /// Receives the status.
        answer: oneshot::Sender<schema::operator::StatusReply>,
    },
}

units::record! { eq:
    /// Result of a change.
    pub enum Verdict {
        /// The change is in the log.
        Accepted(Accepted),
        /// A dry run found no problems.
        Valid,
        /// The change is not in the log because it is invalid.
        Refused(Findings),
        /// The change is not in the log because a resource was changed concurrently.
        Conflict(Findings),
        /// The change is not in the log: the platform is unreachable and nothing was written.
        Unavailable,
        /// The change may be in the log; query its result later by operation id.
        Unknown,
        /// The log contains no such operation.
        Missing,
    }

    /// Position of an accepted change in the log.
    pub struct Accepted {
        /// Version at which the change took effect.
        pub version: units::Version,
    }
}
