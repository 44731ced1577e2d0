//! Serving of one connection.

use std::cell;
use std::convert;
use std::pin;
use std::rc;
use std::time;

use compio::net;
use cyper_core::HyperStream;
use futures_util::future;
use hyper::body::Incoming;
use hyper_util::server::conn::auto;

use crate::clients::{self, Answer, Metered, Registry};
use crate::pipeline::{self, Pipeline, Rewound, exchange};
use crate::unframed::{self, Asked};
use crate::{Executor, Handler, Limits, Peer, Timer, announce_close};

/// Starts serving a connection, until it closes or has to be closed.
pub(crate) fn start<H: Handler>(
    stream: net::TcpStream,
    peer: Peer,
    limits: Limits,
    registry: &Registry,
    handler: H,
    stop: kernel::Stop,
) {
    let entry = registry.enter();
    let socket = stream.clone();
    let client = entry.client().clone();
    let stream = HyperStream::new_plain(stream);
    let serving = Serving {
        stream: Metered::new(stream, socket.clone(), client.clone()),
        peer,
        limits,
    };
    let _ = socket.set_nodelay(true);
    // Boxed, as its place in the task would be twice its size.
    let served = Box::pin(serve(serving, handler, stop));
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
    })
    .detach();
}

type Stream = Metered<HyperStream<net::TcpStream>>;

/// A connection that is served.
struct Serving {
    stream: Stream,
    peer: Peer,
    limits: Limits,
}

/// Serves one connection until it closes, or gracefully once `stop` is requested.
async fn serve<H: Handler>(serving: Serving, handler: H, stop: kernel::Stop) {
    let (peer, limits) = (serving.peer, serving.limits);
    let client = serving.stream.client().clone();
    let Some(stream) = serve_pipelined(serving, &handler, &stop).await else {
        return;
    };
    let taken = rc::Rc::new(cell::Cell::new(false));
    let taking = taken.clone();
    let stopping = stop.clone();
    let service = hyper::service::service_fn(move |mut request: http::Request<Incoming>| {
        taking.set(true);
        request.extensions_mut().insert(peer);
        if !client.has_room() {
            request.extensions_mut().insert(clients::Short);
        }
        let running = client.start();
        let is_announced = request.version() < http::Version::HTTP_2;
        let asked = Asked::new(&request);
        // Boxed, since hyper moves the future several times before its first poll.
        let answer = Box::pin(handler.clone().handle(request));
        let stop = stopping.clone();
        async move {
            let mut answer = answer.await;
            if is_announced && stop.is_requested() {
                announce_close(answer.headers_mut());
            }
            let charge = match asked.is_unframed(&answer) {
                true => Answer::new_unframed,
                false => Answer::new,
            };
            Ok::<_, convert::Infallible>(answer.map(|body| charge(body, running)))
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
