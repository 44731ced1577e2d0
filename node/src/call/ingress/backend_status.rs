//! Backend status exchanged with owners.

use std::time;

use routing::{Endpoint, Observer};

use super::Ingress;
use crate::call::{BackendStatus, Dialect};

impl<L: peer::Link, O: Observer, D: Dialect> Ingress<L, O, D> {
    /// Returns the backend status to send to the owner of `endpoint`.
    pub(super) fn known_status(&self, endpoint: &Endpoint) -> Option<BackendStatus> {
        let state = self.shared.state.borrow();
        state.reports.status(&endpoint.node, endpoint.instance)
    }

    /// Applies the status that the owner of `endpoint` reports, either with a response of its
    /// backend server or with a refusal of its own. Only the former clears the known status,
    /// because an owner that has just started knows nothing.
    pub(super) fn apply_status(
        &self,
        endpoint: &Endpoint,
        backend_status: Option<BackendStatus>,
        answered: bool,
    ) {
        let now = time::Instant::now();
        let state = &mut *self.shared.state.borrow_mut();
        match backend_status {
            Some(backend_status) => {
                // A backend server that warms up has turns, but advertises no rate.
                let has_turns = backend_status.rate.is_some() || !backend_status.turn.is_zero();
                match has_turns {
                    true => endpoint.set_turn(backend_status.turn, now),
                    false => endpoint.clear_turn(),
                }
                state.reports.record(&endpoint.node, &backend_status, now);
                if backend_status.leaving {
                    state.mark_leaving();
                }
            }
            None if answered => {
                endpoint.clear_turn();
                state.reports.clear_rate(&endpoint.node, endpoint.instance);
            }
            None => {}
        }
    }
}
