//! Server for HTTP/1.1 and HTTP/2 on one listener, with graceful shutdown.

use std::io;
use std::time;

use bytes::Bytes;
use compio::net;
use hyper::body::Incoming;

use crate::clients::{self, Registry};
use crate::serving;

/// Answers requests; cloned for each request, so that a clone has to be cheap.
pub trait Handler: Clone + 'static {
    /// Body of the answers.
    type Body: http_body::Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>>
        + Unpin
        + 'static;

    /// Answers one request. Dropping the future cancels the request.
    fn handle(
        self,
        request: http::Request<Incoming>,
    ) -> impl Future<Output = http::Response<Self::Body>> + 'static;
}

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections at a time; further ones wait in the listen queue.
    pub connections: usize,
    /// HTTP/2 streams at a time on one connection.
    pub streams: u32,
    /// Bytes of a request's body that a client may send on an HTTP/2 stream before they are read.
    ///
    /// A body that waits, or is refused, takes no more than that of the link.
    pub stream_window: u32,
    /// Requests of one HTTP/1.1 connection that are worked on side by side; zero or one takes them
    /// one after the other.
    pub pipelined: usize,
    /// Largest list of headers, in bytes.
    pub header_bytes: u32,
    /// Time that a client has for sending the headers of a request.
    pub header_timeout: time::Duration,
    /// Silence after which an HTTP/2 connection is pinged.
    pub ping_after: time::Duration,
    /// Time that the answer to a ping may take before the connection is closed.
    pub ping_timeout: time::Duration,
    /// Time after the request to stop for which new connections are still served.
    ///
    /// Callers that have not yet learned of the stop are not refused; each of their connections
    /// gets one answer and is then closed.
    pub linger: time::Duration,
    /// Bounds on what the clients hold.
    pub clients: clients::Limits,
}

/// The client of a connection; the server adds it to the extensions of each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Its address.
    pub address: units::Address,
    /// Whether it is on the machine of the server.
    pub is_beside: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 1024,
            streams: 1024,
            stream_window: 64 * 1024,
            pipelined: 0,
            header_bytes: 32 * 1024,
            header_timeout: time::Duration::from_secs(10),
            ping_after: time::Duration::from_secs(10),
            ping_timeout: time::Duration::from_secs(10),
            linger: time::Duration::ZERO,
            clients: clients::Limits::default(),
        }
    }
}

impl Limits {
    /// Silence after which a connection with requests is pinged.
    const PING_AFTER: time::Duration = time::Duration::from_millis(500);
    /// Time for the answer to that ping: it queues behind the bodies of requests where a link is full, and
    /// with the connection all requests on it end.
    const LONG_PING_TIMEOUT: time::Duration = time::Duration::from_secs(20);

    /// Bounds of a listener for requests of callers or of other nodes.
    #[must_use]
    pub fn for_requests(connections: usize, linger: time::Duration) -> Self {
        Self {
            connections,
            ping_after: Self::PING_AFTER,
            ping_timeout: Self::LONG_PING_TIMEOUT,
            linger,
            clients: clients::Limits::NONE,
            ..Self::default()
        }
    }
}

/// A bound listener.
pub struct Server {
    listener: net::TcpListener,
    limits: Limits,
    registry: Registry,
}

impl Server {
    /// Pause after a failed accept, such as when no file descriptor is free.
    const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);
    /// Wait for connections that are in the listen queue when the listener is about to close.
    const LAST_ACCEPT: time::Duration = time::Duration::from_millis(5);
    /// Time for connections to end by themselves after a shutdown began.
    const DRAIN_LIMIT: time::Duration = time::Duration::from_secs(25);

    /// Binds `address`.
    ///
    /// # Errors
    /// The error of the operating system, such as an address in use.
    pub async fn bind(address: units::Address, limits: Limits) -> io::Result<Self> {
        let listener = net::TcpListener::bind(address.0).await?;
        Ok(Self {
            listener,
            limits,
            registry: Registry::new(limits.clients),
        })
    }

    /// Reads what is done to the clients.
    #[must_use]
    pub fn clients(&self) -> clients::Monitor {
        self.registry.monitor()
    }

    /// The bound address, with the port that was given for port 0.
    ///
    /// # Errors
    /// The error of the operating system.
    pub fn address(&self) -> io::Result<units::Address> {
        self.listener.local_addr().map(units::Address)
    }

    /// Serves until `stop` is requested, then lets requests in flight finish.
    pub async fn run<H: Handler>(self, handler: H, stop: kernel::Stop) {
        self.registry.watch();
        while !stop.is_requested() {
            if self.registry.open() >= self.limits.connections {
                self.registry.make_places(Self::places(self.limits));
                stop.sleep(Self::ACCEPT_PAUSE).await;
                continue;
            }
            if let Some(accepted) = stop.guard(self.listener.accept()).await {
                self.start(accepted, &handler, &stop).await;
            }
        }
        self.linger(&handler, &stop).await;
        let _ = self.listener.close().await;
        drain(&self.registry).await;
    }

    /// Connections that are closed at a time to make place for others.
    fn places(limits: Limits) -> usize {
        const PART: usize = 32;
        limits.connections / PART + 1
    }

    /// Takes the connections that still come after the request to stop.
    async fn linger<H: Handler>(&self, handler: &H, stop: &kernel::Stop) {
        let started = time::Instant::now();
        loop {
            let left = self.limits.linger.saturating_sub(started.elapsed());
            // Connections that wait in the listen queue are taken even without a linger time.
            let wait = left.max(Self::LAST_ACCEPT);
            match compio::time::timeout(wait, self.listener.accept()).await {
                Ok(accepted) => self.start(accepted, handler, stop).await,
                Err(_) if left <= Self::LAST_ACCEPT => return,
                Err(_) => {}
            }
        }
    }

    async fn start<H: Handler>(
        &self,
        accepted: io::Result<(net::TcpStream, std::net::SocketAddr)>,
        handler: &H,
        stop: &kernel::Stop,
    ) {
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(error:% = error; "accept failed");
                compio::time::sleep(Self::ACCEPT_PAUSE).await;
                return;
            }
        };
        let here = stream.local_addr().ok();
        let peer = Peer {
            address: units::Address(peer),
            is_beside: here.is_some_and(|here| here.ip() == peer.ip()),
        };
        serving::start(
            stream,
            peer,
            self.limits,
            &self.registry,
            handler.clone(),
            stop.clone(),
        );
    }
}

/// Waits until no connection is open, within the limit.
async fn drain(registry: &Registry) {
    let started = time::Instant::now();
    while registry.open() > 0 && started.elapsed() < Server::DRAIN_LIMIT {
        compio::time::sleep(Server::ACCEPT_PAUSE).await;
    }
}
