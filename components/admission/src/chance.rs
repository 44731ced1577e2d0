//! Whether a request is answered by its target.

/// Whether a request that starts now is answered by its target; the best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Chance {
    /// It can be counted on.
    Good,
    /// It takes a run that is shorter than some.
    Fair,
    /// It takes a run that is shorter than most.
    None,
}
