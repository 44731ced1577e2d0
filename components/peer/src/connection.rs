//! The connection to one other node.

use std::time;

use nng::options::protocol::reqrep::ResendTime;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize};
use prost::Message;
use schema::peer as wire;

use crate::exchange::Exchange;
use crate::{Error, Settings};

/// An NNG request socket with one dialer, so that no request reaches another node.
pub(crate) struct Connection {
    socket: nng::Socket,
}

impl Connection {
    /// First wait before a dialer connects again; it doubles up to the longest one.
    const RECONNECT_MIN: time::Duration = time::Duration::from_millis(100);
    const RECONNECT_MAX: time::Duration = time::Duration::from_secs(2);

    /// Starts to connect to `to`.
    pub(crate) fn open(to: units::Address, settings: &Settings) -> nng::Result<Self> {
        let socket = nng::Socket::new(nng::Protocol::Req0)?;
        socket.set_opt::<ReconnectMinTime>(Some(Self::RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(Self::RECONNECT_MAX))?;
        socket.set_opt::<RecvMaxSize>(settings.message_limit.as_len())?;
        // Without resending, a broken connection fails its requests at once and repeats none.
        socket.set_opt::<ResendTime>(None)?;
        socket.dial_async(&format!("tcp://{to}"))?;
        Ok(Self { socket })
    }

    /// Sends `request` and waits for its reply; the length counts the received bytes.
    pub(crate) async fn request(
        &self,
        exchange: &Exchange,
        request: &[u8],
        timeout: time::Duration,
    ) -> Result<(wire::Reply, usize), Error> {
        let started = time::Instant::now();
        let context = nng::Context::new(&self.socket).map_err(transport)?;
        let message = nng::Message::from(request);
        exchange
            .send(&context, message, timeout)
            .await
            .map_err(transport)?;
        let left = timeout.saturating_sub(started.elapsed());
        let answer = exchange.receive(&context, Some(left.max(Self::TICK))).await;
        let answer = answer.map_err(transport)?;
        let reply = wire::Reply::decode(answer.as_slice()).map_err(|_| Error::Invalid)?;
        Ok((reply, answer.len()))
    }

    /// Shortest timeout that NNG knows; zero would mean to try only.
    const TICK: time::Duration = time::Duration::from_millis(1);

    /// Closes the socket; requests in flight fail.
    pub(crate) fn close(&self) {
        self.socket.close();
    }
}

fn transport(error: nng::Error) -> Error {
    match error {
        nng::Error::TimedOut => Error::Timeout,
        other => Error::Transport(compact_str::format_compact!("{other}")),
    }
}
