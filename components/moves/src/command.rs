//! Requests of other services to the moves service.

use compact_str::CompactString;
use futures_channel::{mpsc, oneshot};
use schema::operator::Move;

use crate::Refusal;

/// Takes the answer to a command about one move.
pub type Answer = oneshot::Sender<Result<Move, Refusal>>;

/// A request to the moves service; it is sent through its mailbox.
#[derive(Debug)]
pub enum Command {
    /// Start a move.
    Start {
        /// What to move.
        start: Start,
        /// Takes the new move, or the one that the same operation has started before.
        answer: Answer,
    },
    /// List all moves.
    List {
        /// Takes the moves, running ones first.
        answer: oneshot::Sender<Vec<Move>>,
    },
    /// Show one move with its evidence.
    Show {
        /// Id of the move.
        id: CompactString,
        /// Takes the move.
        answer: Answer,
    },
    /// Follow one move until it has ended.
    Watch {
        /// Id of the move.
        id: CompactString,
        /// Takes the receiver of the states; it closes after the end.
        answer: oneshot::Sender<Result<mpsc::UnboundedReceiver<Move>, Refusal>>,
    },
    /// Take one move back.
    Cancel {
        /// Id of the move.
        id: CompactString,
        /// Why, for the record.
        reason: CompactString,
        /// Takes the move, which is being taken back.
        answer: Answer,
    },
}

units::record! { eq:
    /// What to move.
    pub struct Start {
        /// Makes a repeated start idempotent.
        pub operation: units::Operation,
        /// Name of the service.
        pub service: CompactString,
        /// Version that gives its share.
        pub from: CompactString,
        /// Version that takes the share.
        pub to: CompactString,
        /// Time by which the move has ended.
        pub deadline: units::Wall,
    }
}
