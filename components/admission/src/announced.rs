//! What a backend server announced to the node beside it.

use membership::{Backend, Phase};
use serde::Serialize;

units::record! { eq:
    /// What a backend server announced to the node beside it.
    #[derive(Serialize)]
    pub struct Announced {
        /// Id that it gives itself at its start; empty where it gives none.
        pub id: compact_str::CompactString,
        /// Where it takes requests.
        pub address: units::Address,
        /// What it is and what it can bear.
        pub backend: Backend,
    }
}

impl Announced {
    /// Whether requests that wait for this one may run at `later`.
    #[must_use]
    pub fn is_like(&self, later: &Self) -> bool {
        self.backend.service == later.backend.service
            && self.backend.version == later.backend.version
            && later.backend.phase == Phase::Ready
            && self.backend.phase == Phase::Ready
    }
}
