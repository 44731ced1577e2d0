//! Server for HTTP/1.1 and HTTP/2 on one listener, with graceful shutdown.

use std::cell;
use std::convert;
use std::io;
use std::pin;
use std::rc;
use std::time;

use bytes::Bytes;
use compio::net;
use cyper_core::HyperStream;
use futures_util::future;
use hyper::body::Incoming;
use hyper_util::server::conn::auto;

use crate::clients::{self, Answer, Metered, Registry};
use crate::pipeline::{self, Pipeline, Rewound, exchange};
use crate::{Executor, Timer, announce_close, unframed};

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
        let open = rc::Rc::new(cell::Cell::new(0_usize));
        self.registry.watch();
        while !stop.is_requested() {
            if open.get() >= self.limits.connections {
                self.registry.make_places(Self::places(self.limits));
                stop.sleep(Self::ACCEPT_PAUSE).await;
                continue;
            }
            if let Some(accepted) = stop.guard(self.listener.accept()).await {
                self.start(accepted, &handler, &stop, &open).await;
            }
        }
        self.linger(&handler, &stop, &open).await;
        let _ = self.listener.close().await;
        drain(&open).await;
    }

    /// Connections that are closed at a time to make place for others.
    fn places(limits: Limits) -> usize {
        const PART: usize = 32;
        limits.connections / PART + 1
    }

    /// Takes the connections that still come after the request to stop.
    async fn linger<H: Handler>(&self, handler: &H, stop: &kernel::Stop, open: &Open) {
        let started = time::Instant::now();
        loop {
            let left = self.limits.linger.saturating_sub(started.elapsed());
            // Connections that wait in the listen queue are taken even without a linger time.
            let wait = left.max(Self::LAST_ACCEPT);
            match compio::time::timeout(wait, self.listener.accept()).await {
                Ok(accepted) => self.start(accepted, handler, stop, open).await,
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
        open: &Open,
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
        let entry = self.registry.enter();
        let socket = stream.clone();
        let client = entry.client().clone();
        let stream = Metered::new(HyperStream::new_plain(stream), client.clone());
        let serving = Serving {
            stream,
            socket: socket.clone(),
            peer,
            limits: self.limits,
        };
        // Boxed, as its place in the task would be twice its size.
        let served = Box::pin(serve(serving, handler.clone(), stop.clone()));
        let guard = Guard::new(open.clone());
        compio::runtime::spawn(async move {
            let closed = pin::pin!(client.closed());
            if let future::Either::Right((cause, served)) = future::select(served, closed).await {
                log::debug!(cause:? = cause; "connection closed before its client was done");
                if client.is_served() {
                    // No answer that is cut here may look whole.
                    unframed::reset_on_close(&socket);
                }
                drop(served);
            }
            drop(entry);
            drop(guard);
        })
        .detach();
    }
}

/// Number of open connections.
type Open = rc::Rc<cell::Cell<usize>>;

/// Counts one open connection for as long as it lives.
struct Guard {
    open: Open,
}

impl Guard {
    fn new(open: Open) -> Self {
        open.set(open.get() + 1);
        Self { open }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

/// Waits until no connection is open, within the limit.
async fn drain(open: &cell::Cell<usize>) {
    let started = time::Instant::now();
    while open.get() > 0 && started.elapsed() < Server::DRAIN_LIMIT {
        compio::time::sleep(Server::ACCEPT_PAUSE).await;
    }
}

type Stream = Metered<HyperStream<net::TcpStream>>;

/// A connection that is served.
struct Serving {
    stream: Stream,
    socket: net::TcpStream,
    peer: Peer,
    limits: Limits,
}

/// Serves one connection until it closes, or gracefully once `stop` is requested.
async fn serve<H: Handler>(serving: Serving, handler: H, stop: kernel::Stop) {
    let (peer, limits) = (serving.peer, serving.limits);
    let socket = serving.socket.clone();
    let client = serving.stream.client().clone();
    let _ = socket.set_nodelay(true);
    let Some(stream) = serve_pipelined(serving, &handler, &stop).await else {
        return;
    };
    let taken = rc::Rc::new(cell::Cell::new(false));
    let taking = taken.clone();
    let stopping = stop.clone();
    let unframed = rc::Rc::new(cell::Cell::new(false));
    let marking = unframed.clone();
    let service = hyper::service::service_fn(move |mut request: http::Request<Incoming>| {
        taking.set(true);
        request.extensions_mut().insert(peer);
        if !client.has_room() {
            request.extensions_mut().insert(clients::Short);
        }
        let running = client.start();
        let is_announced = request.version() < http::Version::HTTP_2;
        // Boxed, since hyper moves the future several times before its first poll.
        let answer = Box::pin(handler.clone().handle(request));
        let stop = stopping.clone();
        let unframed = marking.clone();
        async move {
            let mut answer = answer.await;
            unframed.set(unframed::is_marked(&answer));
            if is_announced && stop.is_requested() {
                announce_close(answer.headers_mut());
            }
            Ok::<_, convert::Infallible>(answer.map(|body| Answer::new(body, running)))
        }
    });
    let builder = configure(limits);
    let connection = builder.serve_connection(stream, service);
    let mut connection = pin::pin!(connection);
    let ended = {
        let stopped = pin::pin!(stopped(&stop, &taken));
        match future::select(connection.as_mut(), stopped).await {
            future::Either::Left((ended, _)) => Some(ended),
            future::Either::Right(_) => None,
        }
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        if unframed.get() {
            unframed::reset_on_close(&socket);
        }
        log::debug!(error:% = error; "connection ended with an error");
    }
}

/// Serves the requests at the start of a connection that need no more than a pipeline; `None` once the
/// connection has ended.
async fn serve_pipelined<H: Handler>(
    serving: Serving,
    handler: &H,
    stop: &kernel::Stop,
) -> Option<Rewound<Stream>> {
    let Serving {
        stream,
        socket,
        peer,
        limits,
    } = serving;
    if limits.pipelined <= 1 {
        return Some(Rewound::new(Vec::new(), stream));
    }
    let client = stream.client().clone();
    let start = |head| exchange::start(head, handler.clone(), peer, limits, &client);
    match Pipeline::new(stream, limits, start).run(stop).await {
        pipeline::Ended::Rest(stream) => Some(stream),
        pipeline::Ended::Closed => None,
        pipeline::Ended::Broken => {
            unframed::reset_on_close(&socket);
            None
        }
    }
}

/// Waits until the connection is to be shut down: its first request is awaited for a short time,
/// since a shutdown before it would close the connection without an answer.
async fn stopped(stop: &kernel::Stop, taken: &cell::Cell<bool>) {
    const STEP: time::Duration = time::Duration::from_millis(2);
    const STEPS: usize = 100;
    stop.requested().await;
    for _ in 0..STEPS {
        if taken.get() {
            return;
        }
        compio::time::sleep(STEP).await;
    }
}

/// Bytes of an answer that an HTTP/2 stream keeps until its client takes them.
const SEND_BYTES: usize = 64 * 1024;

fn configure(limits: Limits) -> auto::Builder<Executor> {
    let mut builder = auto::Builder::new(Executor);
    builder
        .http1()
        .timer(Timer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes as usize);
    builder
        .http2()
        .timer(Timer)
        .max_concurrent_streams(limits.streams)
        .initial_stream_window_size(limits.stream_window)
        // Callers that give up many requests at once must not cost others the connection.
        .max_pending_accept_reset_streams(Some(limits.streams as usize))
        .max_local_error_reset_streams(Some(limits.streams as usize))
        .max_send_buf_size(SEND_BYTES)
        .max_header_list_size(limits.header_bytes)
        .keep_alive_interval(limits.ping_after)
        .keep_alive_timeout(limits.ping_timeout);
    builder
}
