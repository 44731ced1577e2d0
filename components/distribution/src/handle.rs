//! What other services and the state dump see of the service.

use std::rc;

use serde::Serialize;

use crate::state::{InForce, Refused, State};
use crate::{Counts, Holder, Settings, Violations};

/// Reads the state of the service; clones read the same.
#[derive(Clone)]
pub struct Handle {
    state: rc::Rc<State>,
}

units::record! {
    /// State of the service.
    #[derive(Serialize)]
    pub struct Dump {
        /// Version in force.
        pub version: units::Version,
        /// Newest version that was built; a starting node puts it in force once it is ready.
        pub newest: units::Version,
        /// Digest of the newest version, in hexadecimal.
        pub digest: String,
        /// Whether this node holds at least what it ever held before.
        pub ready: bool,
        /// Whether this node watches the platform.
        pub watching: bool,
        /// Services of the configuration in force.
        pub services: usize,
        /// Routes of the configuration in force.
        pub routes: usize,
        /// The version that was refused last, until a later one is in force.
        pub refused: Option<Refused>,
        /// Entries kept for other nodes.
        pub tail_entries: usize,
        /// Their bytes.
        pub tail_bytes: usize,
        /// Nodes whose announced version is remembered.
        pub known_nodes: usize,
        /// Counters.
        pub counts: Counts,
        /// Invariants found violated.
        pub violations: Violations,
        /// When the newest versions came in force here, oldest first.
        pub in_force: Vec<InForce>,
        /// The settings.
        pub settings: Settings,
    }
}

impl Handle {
    pub(crate) fn new(state: rc::Rc<State>) -> Self {
        Self { state }
    }

    /// Whether this node holds at least what it ever held before, so that it may serve.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.state.is_ready()
    }

    /// The snapshot in force.
    #[must_use]
    pub fn holder(&self) -> Holder {
        self.state.holder.clone()
    }

    /// The version that was refused last, until a later one is in force.
    #[must_use]
    pub fn refused(&self) -> Option<Refused> {
        self.state.refused.borrow().clone()
    }

    /// Counters.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.state.counts.get()
    }

    /// Invariants found violated.
    #[must_use]
    pub fn violations(&self) -> Violations {
        self.state.violations()
    }

    /// The whole state.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let state = &self.state;
        let snapshot = state.holder.get();
        let tail = state.tail.borrow();
        Dump {
            version: snapshot.version(),
            newest: state.version(),
            digest: format!("{:016x}", state.digest()),
            ready: state.is_ready(),
            watching: state.watching.get(),
            services: snapshot.services().len(),
            routes: snapshot.routes().len(),
            refused: state.refused.borrow().clone(),
            tail_entries: tail.len(),
            tail_bytes: tail.bytes(),
            known_nodes: state.known.borrow().len(),
            counts: state.counts.get(),
            violations: state.violations(),
            in_force: state.history.borrow().iter().copied().collect(),
            settings: state.settings.clone(),
        }
    }
}
