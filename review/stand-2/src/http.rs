//! HTTP/1.1 messages over TCP.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request as a server has read it.
pub struct Request {
    pub method: String,
    /// Path with its query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// An answer as a client has read it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// How the connection ended, where its end is the end of the answer; empty where the answer is framed.
    pub end: String,
}

pub fn header<'h>(headers: &'h [(String, String)], name: &str) -> Option<&'h str> {
    let found = headers
        .iter()
        .find(|header| header.0.eq_ignore_ascii_case(name));
    found.map(|header| header.1.as_str())
}

fn line(from: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn headers(from: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn chunks(from: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
        let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
        if size == 0 {
            headers(from)?;
            return Ok(());
        }
        let start = body.len();
        body.resize(start + size, 0);
        from.read_exact(&mut body[start..])?;
        let mut end = [0; 2];
        from.read_exact(&mut end)?;
    }
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(from: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(first) = line(from)? else {
        return Ok(None);
    };
    let mut parts = first.split(' ');
    let method = parts.next().unwrap_or_default().to_owned();
    let target = parts.next().unwrap_or_default().to_owned();
    let headers = headers(from)?;
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding").is_some() {
        chunks(from, &mut body)?;
    } else if let Some(length) = header(&headers, "content-length") {
        body.resize(length.parse().map_err(|_| io::ErrorKind::InvalidData)?, 0);
        from.read_exact(&mut body)?;
    }
    Ok(Some(Request {
        method,
        target,
        headers,
        body,
    }))
}

/// Writes an answer with a length.
pub fn write_answer(
    to: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!(
        "HTTP/1.1 {status} {}\r\n",
        if status < 300 { "OK" } else { "No" }
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    to.write_all(&bytes)
}

/// Sends one request on a connection of its own and reads its answer.
pub fn ask(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|header| header.0.eq_ignore_ascii_case("host"))
    {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "PUT" || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_answer(&mut BufReader::new(stream), method)
}

/// Reads an answer; one without a length ends with its connection.
pub fn read_answer(from: &mut BufReader<TcpStream>, method: &str) -> io::Result<Answer> {
    let first = line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let mut answer = Answer {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        headers: headers(from)?,
        ..Answer::default()
    };
    if method == "HEAD" || answer.status == 204 {
        return Ok(answer);
    }
    if header(&answer.headers, "transfer-encoding").is_some() {
        chunks(from, &mut answer.body)?;
    } else if let Some(length) = header(&answer.headers, "content-length") {
        answer
            .body
            .resize(length.parse().map_err(|_| io::ErrorKind::InvalidData)?, 0);
        from.read_exact(&mut answer.body)?;
    } else {
        let mut chunk = [0; 4096];
        answer.end = loop {
            match from.read(&mut chunk) {
                Ok(0) => break "closed".to_owned(),
                Ok(count) => answer.body.extend_from_slice(&chunk[..count]),
                Err(error) => break format!("{:?}", error.kind()),
            }
        };
    }
    Ok(answer)
}
