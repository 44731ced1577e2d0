//! Health of this node itself, estimated from its own probes.

/// Local health score (Dadgar et al., Lifeguard, 2018), which keeps a slow node from suspecting others.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    score: u32,
}

impl Health {
    /// Upper bound of the score.
    pub const MAX_SCORE: u32 = 8;

    /// Raises the score after a sign that this node is slow or disconnected.
    pub fn worsen(&mut self) {
        self.score = (self.score + 1).min(Self::MAX_SCORE);
    }

    /// Lowers the score after a successful probe.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// The score; zero is healthy.
    #[must_use]
    pub fn score(self) -> u32 {
        self.score
    }

    /// Multiplier for this node's timeouts and periods.
    #[must_use]
    pub fn factor(self) -> u32 {
        self.score + 1
    }
}
