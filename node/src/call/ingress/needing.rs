//! What owners tell of backend servers in need.

use std::time;

use routing::{Endpoint, Observer};

use super::Ingress;
use crate::call::{Dialect, Need};

impl<L: peer::Link, O: Observer, D: Dialect> Ingress<L, O, D> {
    /// What the owner of `endpoint` is told of its backend server.
    pub(super) fn known_need(&self, endpoint: &Endpoint) -> Option<Need> {
        let state = self.shared.state.borrow();
        state.reports.need(&endpoint.node, endpoint.instance)
    }

    /// Takes what the owner of `endpoint` tells with an answer of its backend server, or with a refusal
    /// of its own. Only the former lifts what was known: an owner that has just started knows nothing.
    pub(super) fn hear_need(&self, endpoint: &Endpoint, need: Option<Need>, answered: bool) {
        let now = time::Instant::now();
        let state = &mut *self.shared.state.borrow_mut();
        match need {
            Some(need) => {
                match need.rate {
                    Some(_) => endpoint.limit(need.turn, now),
                    None => endpoint.lift(),
                }
                state.reports.hear(&endpoint.node, &need, now);
                if need.leaving {
                    state.mark_leaving();
                }
            }
            None if answered => {
                endpoint.lift();
                state.reports.lift(&endpoint.node, endpoint.instance);
            }
            None => {}
        }
    }
}
