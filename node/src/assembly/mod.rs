//! Builds the services of a node, starts them in order, and stops them in reverse.

mod departure;
mod distributing;
mod error;
mod foundation;
mod listeners;
mod members;
mod moving;
mod names;
mod operators;
mod peers;
mod requests;

use std::rc;

use error_stack::{Report, ResultExt};

pub use error::Error;

use crate::settings::Settings;

/// The transport of control messages between nodes.
pub(crate) type Link = peer::Client;

/// Messages that may wait for a service.
const MAILBOX: usize = 1_024;

/// What is needed to start services.
pub(crate) struct Builder {
    settings: rc::Rc<Settings>,
    kernel: kernel::Kernel,
    router: peer::Router,
}

/// Runs a node until it is asked to stop.
///
/// # Errors
/// [`Error`] when the node cannot start; nothing of it runs then.
pub async fn run(settings: Settings) -> Result<(), Report<Error>> {
    telemetry::start_logs(settings.node.as_str(), settings.log_level);
    let mut builder = Builder {
        settings: rc::Rc::new(settings),
        kernel: kernel::Kernel::new(),
        router: peer::Router::default(),
    };
    foundation::offer(&builder)?;
    members::start(&mut builder)?;
    distributing::start(&mut builder)?;
    moving::start(&mut builder)?;
    requests::start(&mut builder)?;
    operators::start(&mut builder)?;
    peers::start(&mut builder)?;
    listeners::start(&mut builder).await?;
    departure::start(&mut builder)?;
    log::info!(version = env!("CARGO_PKG_VERSION"); "node started");
    let ended = program::terminated().await;
    log::info!("graceful shutdown starts");
    builder.kernel.close().await;
    log::info!("node stopped");
    ended.change_context(Error::Signals)
}

impl Builder {
    /// Offers `handle` to the other services as `name`.
    fn offer<T: Clone + 'static>(
        &self,
        name: &'static str,
        handle: T,
    ) -> Result<(), Report<Error>> {
        let offered = self.kernel.registry().offer(name, handle);
        offered.change_context(Error::Services)
    }

    /// Finds what another service offers as `name`.
    fn find<T: Clone + 'static>(&self, name: &'static str) -> Result<T, Report<Error>> {
        let found = self.kernel.registry().find(name);
        found.change_context(Error::Services)
    }

    /// Creates the inbox for requests of other nodes to the service `name`.
    fn incoming(
        &mut self,
        name: &'static str,
    ) -> Result<kernel::Inbox<peer::Incoming>, Report<Error>> {
        let (mailbox, inbox) = kernel::mailbox(MAILBOX);
        let registered = self.router.register(name, mailbox);
        registered.change_context(Error::Services)?;
        Ok(inbox)
    }
}
