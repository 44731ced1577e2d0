//! A listener as a service of the kernel.

use std::marker;

/// Serves a handler on a bound listener; `N` tells the services of a process apart.
pub struct Server<H, N> {
    listener: web::Server,
    handler: H,
    name: marker::PhantomData<N>,
}

/// Name of a service.
pub trait Name: 'static {
    /// The name.
    const NAME: &'static str;
}

impl<H: web::Handler, N: Name> Server<H, N> {
    /// Serves `handler` on `listener`.
    #[must_use]
    pub fn new(listener: web::Server, handler: H) -> Self {
        Self {
            listener,
            handler,
            name: marker::PhantomData,
        }
    }
}

impl<H: web::Handler, N: Name> kernel::Service for Server<H, N> {
    const NAME: &'static str = N::NAME;

    async fn run(self, stop: kernel::Stop) {
        self.listener.run(self.handler, stop).await;
    }
}
