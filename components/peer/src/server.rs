//! Takes requests of other nodes over NNG.

use std::rc;
use std::time;

use compio::runtime;
use futures_util::future;
use nng::options::{Options, RecvMaxSize};
use prost::Message;
use schema::peer as wire;

use crate::exchange::Exchange;
use crate::{Answer, Error, Incoming, Meter, Router, Settings};

/// Takes requests of other nodes and hands them to the services that they name.
pub struct Server {
    socket: nng::Socket,
    router: rc::Rc<Router>,
    settings: Settings,
    meter: Meter,
}

impl Server {
    /// Longest time that sending an answer may take.
    const SEND_LIMIT: time::Duration = time::Duration::from_secs(5);
    /// Wait after a failed operation, so that a lasting failure does not spin.
    const PAUSE: time::Duration = time::Duration::from_millis(100);
    /// Wait that a sender is told when a service gave no answer.
    const BUSY_WAIT: time::Duration = time::Duration::from_millis(200);

    /// Listens on `address`; requests wait until the service runs.
    ///
    /// # Errors
    /// [`Error::Transport`] when the address cannot be bound.
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

    /// Handles one request after the other until the socket is closed.
    async fn serve(self: rc::Rc<Self>, stop: kernel::Stop) {
        let parts = nng::Context::new(&self.socket).and_then(|context| {
            let exchange = Exchange::new()?;
            Ok((context, exchange))
        });
        let (context, exchange) = match parts {
            Ok(parts) => parts,
            Err(error) => {
                log::error!(error:% = error; "a request handler did not start");
                return;
            }
        };
        loop {
            match self.serve_one(&context, &exchange, &stop).await {
                Ok(()) => {}
                Err(nng::Error::Closed | nng::Error::Canceled) => return,
                Err(error) => {
                    log::debug!(error:% = error; "request of another node failed");
                    compio::time::sleep(Self::PAUSE).await;
                }
            }
        }
    }

    async fn serve_one(
        &self,
        context: &nng::Context,
        exchange: &Exchange,
        stop: &kernel::Stop,
    ) -> nng::Result<()> {
        let message = exchange.receive(context, None).await?;
        let (service, reply) = self.answer(message.as_slice(), stop).await;
        let reply = reply.encode_to_vec();
        self.meter.add_sent(service, reply.len());
        let message = nng::Message::from(reply.as_slice());
        exchange.send(context, message, Self::SEND_LIMIT).await
    }

    /// Hands one request to its service and waits for the answer; names the service for the meter.
    async fn answer(&self, message: &[u8], stop: &kernel::Stop) -> (&'static str, wire::Reply) {
        let request = wire::Request::decode(message).ok();
        let named = request.as_ref().map_or("", |one| one.service.as_str());
        let service = self.router.name(named).unwrap_or(Self::UNNAMED);
        self.meter.add_received(service, message.len());
        let (answer, receiver) = Answer::channel();
        match request.and_then(|one| Some((one.from.parse().ok()?, one))) {
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
        let limit = self.settings.answer_limit.0;
        let waiting = compio::time::timeout(limit, receiver);
        let reply = match stop.guard(waiting).await {
            Some(Ok(Ok(reply))) => reply,
            _ => busy(Self::BUSY_WAIT),
        };
        (service, reply)
    }

    /// Name under which requests for unknown services are counted.
    const UNNAMED: &'static str = "unknown";
}

impl kernel::Service for Server {
    const NAME: &'static str = "peer";

    async fn run(self, stop: kernel::Stop) {
        let server = rc::Rc::new(self);
        let handlers: Vec<_> = (0..server.settings.concurrent_requests)
            .map(|_| runtime::spawn(server.clone().serve(stop.clone())))
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

fn busy(wait: time::Duration) -> wire::Reply {
    wire::Reply {
        status: wire::reply::Status::Busy.into(),
        payload: Vec::new(),
        retry_after_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
    }
}
