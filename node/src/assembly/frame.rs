//! What services run in, whichever platform a node is assembled for.

use std::time;

use error_stack::{Report, ResultExt};
use routing::Observer;

use super::{Error, Link, MAILBOX};
use crate::call::{Dialect, Ingress, Owner};

/// Time between two rounds of housekeeping on the request path.
const MAINTENANCE: time::Duration = time::Duration::from_millis(500);

/// The kernel that runs services, and the router of requests that other nodes send to them.
#[derive(Default)]
pub struct Frame {
    /// Runs the services.
    pub kernel: kernel::Kernel,
    router: peer::Router,
}

impl Frame {
    /// Creates the inbox for requests of other nodes to the service `name`.
    ///
    /// # Errors
    /// [`Error::Services`] when the name is taken.
    pub fn incoming(
        &mut self,
        name: &'static str,
    ) -> Result<kernel::Inbox<peer::Incoming>, Report<Error>> {
        let (mailbox, inbox) = kernel::mailbox(MAILBOX);
        let registered = self.router.register(name, mailbox);
        registered.change_context(Error::Services)?;
        Ok(inbox)
    }

    /// Starts the listener for control messages of other nodes; every service has created its inbox
    /// by now.
    ///
    /// # Errors
    /// [`Error::Listen`] when the address cannot be bound.
    pub fn listen_peers(
        &mut self,
        address: units::Address,
        settings: peer::Settings,
        meter: peer::Meter,
    ) -> Result<(), Report<Error>> {
        let router = std::mem::take(&mut self.router);
        let bound = peer::Server::bind(address, router, settings, meter);
        let server = bound.change_context(Error::Listen("peer", address))?;
        self.kernel.start(server);
        Ok(())
    }

    /// Starts the listener `name`, whose requests `handler` answers; the monitor reads what is done to its
    /// clients.
    ///
    /// # Errors
    /// [`Error::Listen`] when the address cannot be bound.
    pub async fn listen<H: web::Handler>(
        &mut self,
        name: &'static str,
        address: units::Address,
        limits: web::Limits,
        handler: H,
    ) -> Result<web::clients::Monitor, Report<Error>> {
        let bound = web::Server::bind(address, limits).await;
        let server = bound.change_context(Error::Listen(name, address))?;
        let clients = server.clients();
        self.kernel
            .start_task(name, |stop| server.run(handler, stop));
        Ok(clients)
    }

    /// Hands notices of other owners about requests that crash backend servers to `owner`.
    ///
    /// # Errors
    /// [`Error::Services`] when it was started before.
    pub fn start_suspects<D: Dialect>(
        &mut self,
        owner: Owner<Link, D>,
    ) -> Result<(), Report<Error>> {
        let mut inbox = self.incoming(admission::SERVICE)?;
        self.kernel.start_task("suspects", |stop| async move {
            while let Some(Some(incoming)) = stop.guard(inbox.receive()).await {
                owner
                    .shared_suspects()
                    .receive(incoming, time::Instant::now());
            }
        });
        Ok(())
    }

    /// Starts the housekeeping on the request path.
    pub fn start_maintenance<O: Observer, D: Dialect>(&mut self, ingress: Ingress<Link, O, D>) {
        self.kernel.start_task("maintenance", |stop| async move {
            while stop.sleep(MAINTENANCE).await {
                ingress.maintain(time::Instant::now());
            }
        });
    }
}
