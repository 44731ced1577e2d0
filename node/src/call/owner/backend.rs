//! Connections to the backend server beside the node.

use std::rc;

use admission::Announced;
use upstream::{Dialer, Server};

use super::Owner;
use crate::call::Dialect;

/// Backend server beside the node, with its connections.
#[derive(Clone)]
pub(super) struct Backend {
    /// Id that the backend server announced; empty if it announced none.
    pub(super) id: compact_str::CompactString,
    /// Instance number of the backend server, new at each start.
    pub(super) instance: u64,
    pub(super) server: Server,
}

impl<L: peer::Link, D: Dialect> Owner<L, D> {
    /// Connects to a backend server that has announced a new address or has restarted.
    pub(super) fn connect_to(&self, announced: Option<&Announced>) {
        let Some(announced) = announced else {
            return;
        };
        let instance = announced.backend.instance;
        let mut backend = self.shared.backend.borrow_mut();
        let kept = backend.as_ref().is_some_and(|held| {
            held.instance == instance && held.server.address() == announced.address
        });
        if kept {
            return;
        }
        let mut settings = self.shared.context.settings.upstream.clone();
        settings.connections = settings
            .connections
            .min(announced.backend.connections as usize);
        let dialer = Dialer::new(settings.dials_per_second);
        let server = Server::new(announced.address, rc::Rc::new(settings), dialer);
        *backend = Some(Backend {
            id: announced.id.clone(),
            instance,
            server,
        });
    }
}
