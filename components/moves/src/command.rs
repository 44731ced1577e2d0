//! Commands that other services send to the moves service.

use compact_str::CompactString;
use futures_channel::{mpsc, oneshot};
use schema::operator::Move;

use crate::Refusal;

/// Sender of the answer to a command about one move.
pub type Answer = oneshot::Sender<Result<Move, Refusal>>;

/// Command for the moves service, sent through its mailbox.
#[derive(Debug)]
pub enum Command {
    /// Starts a move.
    Start {
        /// Service, versions and deadline of the move.
        start: Start,
        /// Receives the new move, or the one that the same operation started before.
        answer: Answer,
    },
    /// Lists all moves.
    List {
        /// Receives the moves, running ones first.
        answer: oneshot::Sender<Vec<Move>>,
    },
    /// Shows one move with its evidence.
    Show {
        /// Id of the move.
        id: CompactString,
        /// Receives the move.
        answer: Answer,
    },
    /// Watches one move until it ends.
    Watch {
        /// Id of the move.
        id: CompactString,
        /// Receives the channel of the move's states, which is closed after the end.
        answer: oneshot::Sender<Result<mpsc::UnboundedReceiver<Move>, Refusal>>,
    },
    /// Takes one move back.
    Cancel {
        /// Id of the move.
        id: CompactString,
        /// Reason, which is stored in the record.
        reason: CompactString,
        /// Receives the move, which is being taken back.
        answer: Answer,
    },
}

units::record! { eq:
    /// Parameters of a new move.
    pub struct Start {
        /// Operation id, which makes a repeated start idempotent.
        pub operation: units::Operation,
        /// Name of the service.
        pub service: CompactString,
        /// Old version, whose share is moved.
        pub from: CompactString,
        /// New version, which gets the share.
        pub to: CompactString,
        /// Deadline for the end of the move.
        pub deadline: units::Wall,
    }
}
