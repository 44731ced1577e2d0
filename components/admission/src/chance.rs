//! Likelihood that a request meets its target.

/// Likelihood that a request that starts now meets its target, the highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Chance {
    /// The target is met with a margin.
    Good,
    /// The target is met by a run of the usual length.
    Fair,
    /// The target is met only by a run that is shorter than usual.
    None,
}
