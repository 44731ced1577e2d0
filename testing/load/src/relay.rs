//! Relay that delays bytes, and that can go silent on its open connections without closing them.

use std::cell;
use std::io;
use std::rc;
use std::time;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net;

/// A relay from one address to another; it ends when it is dropped.
pub struct Relay {
    address: units::Address,
    shared: rc::Rc<Shared>,
    /// Cancelled when dropped.
    _accepting: compio::runtime::JoinHandle<()>,
}

struct Shared {
    target: units::Address,
    delay: time::Duration,
    /// Connections opened in an earlier age than this are silent.
    age: cell::Cell<u64>,
    open: cell::Cell<usize>,
}

impl Relay {
    /// Bytes that it carries at a time.
    const BUFFER_BYTES: usize = 64 * 1024;

    /// Relays from `listen` to `target`, each direction `delay` late.
    ///
    /// # Errors
    /// The error of the operating system.
    pub async fn open(
        listen: units::Address,
        target: units::Address,
        delay: time::Duration,
    ) -> io::Result<Self> {
        let listener = net::TcpListener::bind(listen.0).await?;
        let address = units::Address(listener.local_addr()?);
        let shared = rc::Rc::new(Shared {
            target,
            delay,
            age: cell::Cell::new(0),
            open: cell::Cell::new(0),
        });
        let accepting = compio::runtime::spawn(accept(listener, shared.clone()));
        Ok(Self {
            address,
            shared,
            _accepting: accepting,
        })
    }

    /// The address that it listens on, with the port that was given for port 0.
    #[must_use]
    pub fn address(&self) -> units::Address {
        self.address
    }

    /// Makes every open connection silent for good; later ones work. Gives their number.
    pub fn silence(&self) -> usize {
        let age = self.shared.age.get();
        self.shared.age.set(age + 1);
        self.shared.open.replace(0)
    }
}

async fn accept(listener: net::TcpListener, shared: rc::Rc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        compio::runtime::spawn(async move {
            if let Err(error) = carry(stream, &shared).await {
                log::debug!(error:% = error; "a relayed connection failed");
            }
        })
        .detach();
    }
}

/// Carries one connection both ways until either end closes.
async fn carry(near: net::TcpStream, shared: &rc::Rc<Shared>) -> io::Result<()> {
    let far = net::TcpStream::connect(shared.target.0).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let age = shared.age.get();
    shared.open.set(shared.open.get() + 1);
    let there = copy(near.clone(), far.clone(), shared.clone(), age);
    let back = copy(far, near, shared.clone(), age);
    let there = std::pin::pin!(there);
    let back = std::pin::pin!(back);
    // Either end's close ends both directions.
    futures_util::future::select(there, back).await;
    if shared.age.get() == age {
        shared.open.set(shared.open.get().saturating_sub(1));
    }
    Ok(())
}

/// Copies until the end of `from`; once the connection is silent, what arrives is dropped and
/// nothing is closed.
async fn copy(mut from: net::TcpStream, mut to: net::TcpStream, shared: rc::Rc<Shared>, age: u64) {
    let mut buffer = Vec::with_capacity(Relay::BUFFER_BYTES);
    loop {
        let compio::buf::BufResult(read, filled) = from.read(buffer).await;
        buffer = filled;
        let ended = !matches!(read, Ok(length) if length > 0);
        if shared.age.get() != age {
            if ended {
                // A silent connection does not even pass on that the other end has closed.
                std::future::pending::<()>().await;
            }
            buffer.clear();
            continue;
        }
        if ended {
            return;
        }
        if !shared.delay.is_zero() {
            compio::time::sleep(shared.delay).await;
        }
        let compio::buf::BufResult(written, sent) = to.write_all(buffer).await;
        if written.is_err() {
            return;
        }
        buffer = sent;
        buffer.clear();
    }
}
