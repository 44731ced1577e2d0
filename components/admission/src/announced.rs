//! Announcement of a backend server to the node beside it.

use membership::{Backend, Phase};
use serde::Serialize;

units::record! { eq:
    /// Latest announcement of a backend server to the node beside it.
    #[derive(Serialize)]
    pub struct Announced {
        /// Id that the backend server chose at its start; empty if none.
        pub id: compact_str::CompactString,
        /// Address at which the backend server accepts requests.
        pub address: units::Address,
        /// Service, version and capacity of the backend server.
        pub backend: Backend,
    }
}

impl Announced {
    /// Whether requests queued for this backend server may run at `later`.
    #[must_use]
    pub fn is_interchangeable_with(&self, later: &Self) -> bool {
        self.backend.service == later.backend.service
            && self.backend.version == later.backend.version
            && later.backend.phase == Phase::Ready
            && self.backend.phase == Phase::Ready
    }
}
