//! HTTP/1.1 on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Head of a message: its first line and its headers, names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|one| one.0 == name).map(|one| one.1.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes read ahead.
pub struct Wire {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, ahead: Vec::new() }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Wire> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        Ok(Wire::new(stream))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.ahead.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// The next head; `None` where the connection ends before one begins.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.ahead, b"\r\n\r\n") {
                let bytes: Vec<u8> = self.ahead.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Some(Head { first, headers: headers.collect() }));
            }
            if self.more()? == 0 {
                return match self.ahead.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            if self.more()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..count).collect())
    }

    /// The body that belongs to `head`, whole.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some_and(|text| text.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let digits = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(digits, 16);
                let size = size.map_err(|_| io::Error::new(io::ErrorKind::InvalidData, format!("chunk size {line:?}")))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.exact(size)?);
                self.exact(2)?;
            }
        }
        let length = head.header("content-length").and_then(|text| text.parse().ok());
        self.exact(length.unwrap_or(0))
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.ahead, b"\r\n") {
                let bytes: Vec<u8> = self.ahead.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&bytes[..end]).into_owned());
            }
            if self.more()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// Serves each connection on a thread of its own; `serve` is called for each request and says whether
/// the connection goes on.
pub fn listen(address: SocketAddr, serve: impl Fn(&mut Wire, Head, Vec<u8>) -> io::Result<bool> + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Ok(Some(head)) = wire.head() {
                    let Ok(body) = wire.body(&head) else { return };
                    match serve(&mut wire, head, body) {
                        Ok(true) => {}
                        _ => return,
                    }
                }
            });
        }
    });
    Ok(bound)
}

pub fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// As [`listen`], but `serve` reads the body itself.
pub fn listen_raw(address: SocketAddr, serve: impl Fn(&mut Wire, Head) -> io::Result<bool> + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Ok(Some(head)) = wire.head() {
                    match serve(&mut wire, head) {
                        Ok(true) => {}
                        _ => return,
                    }
                }
            });
        }
    });
    Ok(bound)
}
