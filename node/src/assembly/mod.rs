//! Builds the services of a node, starts them in order, and stops them in reverse.

mod departure;
mod distributing;
mod error;
mod foundation;
mod frame;
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
pub use foundation::Foundation;
pub use frame::Frame;

use crate::settings::Settings;

/// The transport of control messages between nodes.
pub type Link = peer::Client;

/// Messages that may wait for a service.
pub const MAILBOX: usize = 1_024;

/// What is needed to start services.
pub(crate) struct Builder {
    settings: rc::Rc<Settings>,
    frame: Frame,
}

/// Runs a node until it is asked to stop.
///
/// # Errors
/// [`Error`] when the node cannot start; nothing of it runs then.
pub async fn run(settings: Settings) -> Result<(), Report<Error>> {
    telemetry::start_logs(settings.node.as_str(), settings.log_level);
    let mut builder = Builder {
        settings: rc::Rc::new(settings),
        frame: Frame::default(),
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
    builder.frame.kernel.close().await;
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
        let offered = self.frame.kernel.registry().offer(name, handle);
        offered.change_context(Error::Services)
    }

    /// Finds what another service offers as `name`.
    fn find<T: Clone + 'static>(&self, name: &'static str) -> Result<T, Report<Error>> {
        let found = self.frame.kernel.registry().find(name);
        found.change_context(Error::Services)
    }
}
