//! Connection to one remote node.

use std::time;

use nng::options::protocol::reqrep::ResendTime;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize};
use prost::Message;
use schema::peer as wire;

use crate::aio::AioHandle;
use crate::{Error, Settings};

/// NNG request socket with a single dialer, so that requests reach only the intended node.
pub(crate) struct Connection {
    socket: nng::Socket,
}

impl Connection {
    /// Initial reconnect delay of the dialer; doubles up to `RECONNECT_MAX`.
    const RECONNECT_MIN: time::Duration = time::Duration::from_millis(100);
    const RECONNECT_MAX: time::Duration = time::Duration::from_secs(2);

    /// Starts connecting to `to` in the background.
    pub(crate) fn open(to: units::Address, settings: &Settings) -> nng::Result<Self> {
        let socket = nng::Socket::new(nng::Protocol::Req0)?;
        socket.set_opt::<ReconnectMinTime>(Some(Self::RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(Self::RECONNECT_MAX))?;
        socket.set_opt::<RecvMaxSize>(settings.message_limit.as_len())?;
        // Without resending, a broken connection fails its requests at once and none is repeated.
        socket.set_opt::<ResendTime>(None)?;
        socket.dial_async(&format!("tcp://{to}"))?;
        Ok(Self { socket })
    }

    /// Sends `request` and returns the reply with its encoded length in bytes.
    pub(crate) async fn request(
        &self,
        aio: &AioHandle,
        request: &[u8],
        timeout: time::Duration,
    ) -> Result<(wire::Reply, usize), Error> {
        let started = time::Instant::now();
        let context = nng::Context::new(&self.socket).map_err(convert_error)?;
        let message = nng::Message::from(request);
        aio.send(&context, message, timeout)
            .await
            .map_err(convert_error)?;
        let remaining = timeout.saturating_sub(started.elapsed());
        let answer = aio
            .receive(&context, Some(remaining.max(Self::MIN_TIMEOUT)))
            .await;
        let answer = answer.map_err(convert_error)?;
        let reply = wire::Reply::decode(answer.as_slice()).map_err(|_| Error::Invalid)?;
        Ok((reply, answer.len()))
    }

    /// Shortest timeout that NNG supports; zero would make the operation non-blocking.
    const MIN_TIMEOUT: time::Duration = time::Duration::from_millis(1);

    /// Closes the socket; in-flight requests fail.
    pub(crate) fn close(&self) {
        self.socket.close();
    }
}

fn convert_error(error: nng::Error) -> Error {
    match error {
        nng::Error::TimedOut => Error::Timeout,
        other => Error::Transport(compact_str::format_compact!("{other}")),
    }
}
