//! How well this node itself works, judged by its probes.

/// Score of this node's own health (Dadgar et al., Lifeguard, 2018): a node that is slow itself must
/// not accuse others of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    score: u32,
}

impl Health {
    /// Worst score.
    pub const WORST: u32 = 8;

    /// A sign that this node is slow or cut off.
    pub fn worsen(&mut self) {
        self.score = (self.score + 1).min(Self::WORST);
    }

    /// A sign that this node works.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// The score; zero is good.
    #[must_use]
    pub fn score(self) -> u32 {
        self.score
    }

    /// Multiplies this node's timeouts and periods.
    #[must_use]
    pub fn factor(self) -> u32 {
        self.score + 1
    }
}
