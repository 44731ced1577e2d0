//! What owners tell of backend servers in need.

use std::time;

use routing::{Endpoint, Observer};

use super::Ingress;
use crate::call::{Dialect, Need};

impl<L: peer::Link, O: Observer, D: Dialect> Ingress<L, O, D> {
    /// Takes what the owner of `endpoint` tells with an answer of its backend server, or with a refusal
    /// of its own. Only the former lifts what was known: an owner that has just started knows nothing.
    pub(super) fn hear_need(&self, endpoint: &Endpoint, need: Option<Need>, answered: bool) {
        let reports = &mut self.shared.state.borrow_mut().reports;
        match need {
            Some(need) => reports.hear(&need, time::Instant::now()),
            None if answered => reports.lift(endpoint.instance),
            None => {}
        }
    }
}
