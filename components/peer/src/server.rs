//! NNG server for requests from other nodes.

use std::rc;
use std::time;

use compio::runtime;
use futures_util::future;
use nng::options::{Options, RecvMaxSize};
use prost::Message;
use schema::peer as wire;

use crate::aio::AioHandle;
use crate::{Answer, Error, Incoming, Meter, Router, Settings};

/// Server that receives requests from other nodes and dispatches them to services.
pub struct Server {
    socket: nng::Socket,
    router: rc::Rc<Router>,
    settings: Settings,
    meter: Meter,
}

impl Server {
    /// Timeout for sending a reply.
    const SEND_TIMEOUT: time::Duration = time::Duration::from_secs(5);
    /// Delay after a failed operation, so that a persistent failure does not cause a busy loop.
    const ERROR_DELAY: time::Duration = time::Duration::from_millis(100);
    /// Retry delay sent to the sender when a service does not answer.
    const BUSY_RETRY_AFTER: time::Duration = time::Duration::from_millis(200);

    /// Listens on `address`; requests are queued until the server runs.
    ///
    /// # Errors
    /// [`Error::Transport`] if the address cannot be bound.
    pub fn bind(
        address: units::Address,
        router: Router,
        settings: Settings,
        meter: Meter,
    ) -> Result<Self, Error> {
        let socket = listen(address, &settings)
            .map_err(|error| Error::Transport(compact_str::format_compact!("{error}")))?;
        Ok(Self {
            socket,
            router: rc::Rc::new(router),
            settings,
            meter,
        })
    }

    /// Handles requests sequentially until the socket is closed.
    async fn run_handler(self: rc::Rc<Self>, stop: kernel::Stop) {
        let parts = nng::Context::new(&self.socket).and_then(|context| {
            let aio = AioHandle::new()?;
            Ok((context, aio))
        });
        let (context, aio) = match parts {
            Ok(parts) => parts,
            Err(error) => {
                log::error!(error:% = error; "request handler failed to start");
                return;
            }
        };
        loop {
            match self.handle_request(&context, &aio, &stop).await {
                Ok(()) => {}
                Err(nng::Error::Closed | nng::Error::Canceled) => return,
                Err(error) => {
                    log::debug!(error:% = error; "request from another node failed");
                    compio::time::sleep(Self::ERROR_DELAY).await;
                }
            }
        }
    }

    async fn handle_request(
        &self,
        context: &nng::Context,
        aio: &AioHandle,
        stop: &kernel::Stop,
    ) -> nng::Result<()> {
        let message = aio.receive(context, None).await?;
        let (service, reply) = self.dispatch(message.as_slice(), stop).await;
        let reply = reply.encode_to_vec();
        self.meter.add_sent(service, reply.len());
        let message = nng::Message::from(reply.as_slice());
        aio.send(context, message, Self::SEND_TIMEOUT).await
    }

    /// Dispatches one request to its service and waits for the reply; returns the service name for the meter.
    async fn dispatch(&self, message: &[u8], stop: &kernel::Stop) -> (&'static str, wire::Reply) {
        let request = wire::Request::decode(message).ok();
        let requested = request
            .as_ref()
            .map_or("", |request| request.service.as_str());
        let service = self
            .router
            .registered_name(requested)
            .unwrap_or(Self::UNKNOWN_SERVICE);
        self.meter.add_received(service, message.len());
        let (answer, receiver) = Answer::channel();
        match request.and_then(|request| Some((request.from.parse().ok()?, request))) {
            Some((from, request)) => {
                let incoming = Incoming {
                    from,
                    payload: request.payload,
                    answer,
                };
                self.router.route(&request.service, incoming);
            }
            None => answer.invalid(),
        }
        let timeout = self.settings.answer_limit.0;
        let pending_reply = compio::time::timeout(timeout, receiver);
        let reply = match stop.guard(pending_reply).await {
            Some(Ok(Ok(reply))) => reply,
            _ => busy_reply(Self::BUSY_RETRY_AFTER),
        };
        (service, reply)
    }

    /// Service name under which requests for unknown services are counted.
    const UNKNOWN_SERVICE: &'static str = "unknown";
}

impl kernel::Service for Server {
    const NAME: &'static str = "peer";

    async fn run(self, stop: kernel::Stop) {
        let server = rc::Rc::new(self);
        let handlers: Vec<_> = (0..server.settings.concurrent_requests)
            .map(|_| runtime::spawn(server.clone().run_handler(stop.clone())))
            .collect();
        stop.requested().await;
        server.socket.close();
        future::join_all(handlers).await;
    }
}

fn listen(address: units::Address, settings: &Settings) -> nng::Result<nng::Socket> {
    let socket = nng::Socket::new(nng::Protocol::Rep0)?;
    socket.set_opt::<RecvMaxSize>(settings.message_limit.as_len())?;
    socket.listen(&format!("tcp://{address}"))?;
    Ok(socket)
}

fn busy_reply(retry_after: time::Duration) -> wire::Reply {
    wire::Reply {
        status: wire::reply::Status::Busy.into(),
        payload: Vec::new(),
        retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
    }
}
