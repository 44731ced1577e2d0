//! Backend server that speaks just enough HTTP/2 to fail in exact ways.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use compio::io::{AsyncReadExt, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};

/// What it does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Act {
    /// Runs it and answers.
    Answer,
    /// Refuses the stream unexecuted.
    Refuse,
    /// Shuts the connection down below the stream, unexecuted.
    GoAwayBelow,
    /// Runs it, shuts the connection down at the stream and closes it without an answer.
    GoAwayAt,
    /// Runs it and resets the stream with this code.
    Reset(u32),
    /// Runs it and closes the connection.
    Close,
    /// Runs it, sends a part of the answer and resets the stream with this code.
    Cut(u32),
    /// Runs it, sends a part of the answer and closes the connection.
    CutClose,
    /// Runs it and sends nothing more on the connection, not even answers to pings.
    Silent,
}

/// A running script; clones share it.
#[derive(Clone)]
pub(crate) struct Script {
    pub(crate) address: units::Address,
    /// Acts for the next requests; the last one stays.
    acts: Rc<RefCell<Vec<Act>>>,
    /// Requests that it has run.
    pub(crate) ran: Rc<Cell<u32>>,
}

const NO_ERROR: u32 = 0;
const REFUSED_STREAM: u32 = 7;
const PREFACE: usize = 24;

impl Script {
    pub(crate) async fn start(acts: &[Act]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = units::Address(listener.local_addr().expect("an address"));
        let script = Self {
            address,
            acts: Rc::new(RefCell::new(acts.to_vec())),
            ran: Rc::default(),
        };
        let serving = script.clone();
        compio::runtime::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = serving.clone();
                compio::runtime::spawn(async move {
                    let _ = serving.serve(stream).await;
                })
                .detach();
            }
        })
        .detach();
        script
    }

    fn next(&self) -> Act {
        let mut acts = self.acts.borrow_mut();
        if acts.len() > 1 {
            acts.remove(0)
        } else {
            acts[0]
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let preface = vec![0; PREFACE];
        let (read, _) = stream.read_exact(preface).await.into();
        read?;
        write(&mut stream, frame(4, 0, 0, &[])).await?;
        loop {
            let (kind, flags, id, payload) = read_frame(&mut stream).await?;
            match kind {
                4 if flags & 1 == 0 => write(&mut stream, frame(4, 1, 0, &[])).await?,
                6 if flags & 1 == 0 => write(&mut stream, frame(6, 1, 0, &payload)).await?,
                // The test requests end with their headers.
                1 if !self.act(&mut stream, id).await? => return Ok(()),
                _ => {}
            }
        }
    }

    /// Returns whether the connection stays open.
    async fn act(&self, stream: &mut TcpStream, id: u32) -> std::io::Result<bool> {
        let act = self.next();
        let runs = !matches!(act, Act::Refuse | Act::GoAwayBelow);
        self.ran.set(self.ran.get() + u32::from(runs));
        // `:status 200` of the static table.
        let headers = frame(1, 4, id, &[0x88]);
        match act {
            Act::Answer => {
                write(stream, [headers, frame(0, 1, id, b"whole")].concat()).await?;
                Ok(true)
            }
            Act::Refuse => {
                write(stream, reset(id, REFUSED_STREAM)).await?;
                Ok(true)
            }
            Act::Reset(code) => {
                write(stream, reset(id, code)).await?;
                Ok(true)
            }
            Act::Cut(code) => {
                let part = frame(0, 0, id, b"par");
                write(stream, [headers, part, reset(id, code)].concat()).await?;
                Ok(true)
            }
            Act::GoAwayBelow => {
                write(stream, go_away(id.saturating_sub(2))).await?;
                Ok(false)
            }
            Act::GoAwayAt => {
                write(stream, go_away(id)).await?;
                Ok(false)
            }
            Act::CutClose => {
                write(stream, [headers, frame(0, 0, id, b"par")].concat()).await?;
                Ok(false)
            }
            Act::Close => Ok(false),
            Act::Silent => {
                std::future::pending::<()>().await;
                Ok(false)
            }
        }
    }
}

fn frame(kind: u8, flags: u8, id: u32, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len())
        .expect("a short frame")
        .to_be_bytes();
    let mut bytes = length[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(id.to_be_bytes());
    bytes.extend(payload);
    bytes
}

fn reset(id: u32, code: u32) -> Vec<u8> {
    frame(3, 0, id, &code.to_be_bytes())
}

fn go_away(last: u32) -> Vec<u8> {
    let payload = [last.to_be_bytes(), NO_ERROR.to_be_bytes()].concat();
    frame(7, 0, 0, &payload)
}

async fn write(stream: &mut TcpStream, bytes: Vec<u8>) -> std::io::Result<()> {
    let (written, _) = stream.write_all(bytes).await.into();
    written
}

async fn read_frame(stream: &mut TcpStream) -> std::io::Result<(u8, u8, u32, Vec<u8>)> {
    let (read, head) = stream.read_exact(vec![0; 9]).await.into();
    read?;
    let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
    let id = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
    let (read, payload) = stream.read_exact(vec![0; length]).await.into();
    read?;
    Ok((head[3], head[4], id, payload))
}
