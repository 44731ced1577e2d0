//! The stand-in's listeners.

use std::io;
use std::time;

use crate::api::Api;
use crate::control::Control;
use crate::shared::{Shared, State};
use crate::{Handle, Settings};

/// Why the stand-in cannot serve.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address cannot be bound.
    #[error("cannot listen at {0}: {1}")]
    Listen(units::Address, io::Error),
    /// Signals cannot be received.
    #[error("cannot receive signals")]
    Signals,
    /// A task panicked; the panic's message stands on standard error.
    #[error("the server panicked")]
    Panicked,
}

/// The stand-in, listening.
pub struct Server {
    shared: Shared,
    api: web::Server,
    control: Option<web::Server>,
}

impl Server {
    /// Bounds for a fleet in which each node keeps connections of its own.
    const LIMITS: web::Limits = web::Limits {
        connections: 16_384,
        streams: 1_024,
        stream_window: 64 * 1024,
        pipelined: 0,
        header_bytes: 32 * 1024,
        // Longer than clients keep idle connections, so that closing does not race their calls.
        header_timeout: time::Duration::from_secs(300),
        ping_after: time::Duration::from_secs(10),
        ping_timeout: time::Duration::from_secs(10),
        linger: time::Duration::ZERO,
        clients: web::clients::Limits::NONE,
    };

    /// Binds the addresses of `settings`.
    ///
    /// # Errors
    /// [`Error::Listen`] with the address.
    pub async fn bind(settings: Settings) -> Result<Self, Error> {
        let api = bind(settings.listen).await?;
        let control = match settings.control {
            Some(address) => Some(bind(address).await?),
            None => None,
        };
        let shared = State::new(settings);
        Ok(Self {
            shared,
            api,
            control,
        })
    }

    /// Address of the object API, with the port that was given for port 0.
    ///
    /// # Errors
    /// The error of the operating system.
    pub fn address(&self) -> io::Result<units::Address> {
        self.api.address()
    }

    /// Switches faults and reads counts from within the process.
    #[must_use]
    pub fn handle(&self) -> Handle {
        Handle::new(self.shared.clone())
    }

    /// Serves until `stop` is requested.
    pub async fn run(self, stop: kernel::Stop) {
        let api = self.api.run(Api::new(self.shared.clone()), stop.clone());
        let release = release(self.shared.clone(), stop.clone());
        let Some(control) = self.control else {
            futures_util::join!(api, release);
            return;
        };
        let control = control.run(Control::new(self.shared), stop);
        futures_util::join!(api, control, release);
    }
}

async fn bind(address: units::Address) -> Result<web::Server, Error> {
    let bound = web::Server::bind(address, Server::LIMITS).await;
    bound.map_err(|error| Error::Listen(address, error))
}

/// Lets waiting watches end once `stop` is requested.
async fn release(shared: Shared, stop: kernel::Stop) {
    stop.requested().await;
    shared.stopping.set(true);
    shared.notify();
}
