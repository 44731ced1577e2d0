//! Exit codes.

use std::process;

/// How a command ended, as its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done as asked.
    Done = 0,
    /// Refused, or failed without effect; of `move watch`: the move was taken back.
    Failed = 1,
    /// Wrong usage or a wrong file; nothing was sent.
    Usage = 2,
    /// The answer was lost, so that the outcome is unknown.
    Unknown = 3,
    /// What was waited for did not come in time.
    Timeout = 4,
    /// Of `diff`: the node holds something else. Not 1 as of diff(1), so that it differs from a failure.
    Differs = 5,
    /// Of `check`: the system would accept the file, with warnings.
    Warned = 6,
}

impl From<Exit> for process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
