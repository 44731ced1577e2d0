//! Access to the state of the service for other services and for state dumps.

use std::rc;

use serde::Serialize;

use crate::state::{InForce, Refused, State};
use crate::{Counts, Holder, Settings, Violations};

/// Read access to the state of the service; clones share the state.
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
        /// Newest version built; a starting node puts it in force once it is ready.
        pub newest: units::Version,
        /// Digest of the newest version, in hexadecimal.
        pub digest: String,
        /// Whether this node has reached the highest version that it held before a restart.
        pub ready: bool,
        /// Whether this node watches the platform.
        pub watching: bool,
        /// Number of services in the configuration in force.
        pub services: usize,
        /// Number of routes in the configuration in force.
        pub routes: usize,
        /// Last refused version, until a later version is in force.
        pub refused: Option<Refused>,
        /// Number of entries kept for other nodes.
        pub tail_entries: usize,
        /// Bytes of the entries kept for other nodes.
        pub tail_bytes: usize,
        /// Number of nodes whose announced version is recorded.
        pub known_nodes: usize,
        /// Counters.
        pub counts: Counts,
        /// Counters of violated invariants.
        pub violations: Violations,
        /// Times at which the most recent versions came into force on this node, oldest first.
        pub in_force: Vec<InForce>,
        /// The settings.
        pub settings: Settings,
    }
}

impl Handle {
    pub(crate) fn new(state: rc::Rc<State>) -> Self {
        Self { state }
    }

    /// Whether this node has reached the highest version that it held before a restart and may serve.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.state.is_ready()
    }

    /// Returns the holder of the snapshot in force.
    #[must_use]
    pub fn holder(&self) -> Holder {
        self.state.holder.clone()
    }

    /// Returns the last refused version, until a later version is in force.
    #[must_use]
    pub fn refused(&self) -> Option<Refused> {
        self.state.refused.borrow().clone()
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.state.counts.get()
    }

    /// Returns the counters of violated invariants.
    #[must_use]
    pub fn violations(&self) -> Violations {
        self.state.violations()
    }

    /// Returns the whole state.
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
            known_nodes: state.peer_versions.borrow().len(),
            counts: state.counts.get(),
            violations: state.violations(),
            in_force: state.history.borrow().iter().copied().collect(),
            settings: state.settings.clone(),
        }
    }
}
