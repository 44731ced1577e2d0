//! Uploads and large answers.

use std::time::Duration;

use bytes::Bytes;
use compio::io::{AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use futures_channel::mpsc;
use http_body_util::StreamBody;
use hyper::body::Frame;

use crate::backend::Backend;
use crate::caller::Caller;
use crate::fleet::{Fleet, until};

#[compio::test]
async fn echo_of_each_size() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let mut fleet = Fleet::start(&[address]).await;
    for ingress in [0, fleet.add_ingress().await] {
        let caller = Caller::open(fleet.nodes[ingress].callers).await;
        for size in [0, 1, 4_096, 65_536, 200_000] {
            let body: Vec<u8> = (0..size).map(|place: u32| place.to_be_bytes()[3]).collect();
            let got = caller.send_with("POST", "/upload", &[], &body).await;
            assert_eq!(got.status, 200);
            assert_eq!(got.body.as_deref(), Some(body.as_slice()));
        }
    }
}

#[compio::test]
async fn body_over_limit() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let fleet = Fleet::start(&[address]).await;
    let caller = Caller::open(fleet.nodes[0].callers).await;
    let body = vec![7; 256 * 1024 + 1];
    let got = caller.send_with("POST", "/upload", &[], &body).await;
    assert_eq!((got.status, got.outcome.as_str()), (413, "not-run"));
    assert_eq!(backend.total(), 0);
}

#[compio::test]
async fn upload_given_up_by_caller() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let mut fleet = Fleet::start(&[address]).await;
    for ingress in [0, fleet.add_ingress().await] {
        let (chunks, receiver) = mpsc::unbounded::<Result<Frame<Bytes>, std::io::Error>>();
        let opened = web::Connection::open(fleet.nodes[ingress].callers, Duration::from_secs(5));
        let mut connection = opened.await.expect("a connection");
        let request = http::Request::post("http://menus.example/recording");
        let request = request.body(StreamBody::new(receiver)).expect("a request");
        let sending = compio::runtime::spawn(async move { connection.send(request).await });
        let first = Frame::data(Bytes::from_static(b"first part"));
        chunks.unbounded_send(Ok(first)).expect("a receiver");
        until(|| backend.running() == 1).await;
        sending.cancel().await;
        drop(chunks);
        until(|| backend.running() == 0).await;
        assert_eq!(backend.whole("/recording"), 0);
    }
}

#[compio::test]
async fn upload_cut_over_http1() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let fleet = Fleet::start(&[address]).await;
    let mut stream = TcpStream::connect(fleet.nodes[0].callers.0)
        .await
        .expect("a connection");
    let head = "POST /recording HTTP/1.1\r\nhost: menus.example\r\ncontent-length: 10\r\n\r\npart";
    let (written, _) = stream.write_all(head).await.into();
    written.expect("a connection");
    until(|| backend.running() == 1).await;
    drop(stream);
    until(|| backend.running() == 0).await;
    assert_eq!(backend.whole("/recording"), 0);
}

#[compio::test]
async fn http1_keep_alive() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let fleet = Fleet::start(&[address]).await;
    let mut stream = TcpStream::connect(fleet.nodes[0].callers.0)
        .await
        .expect("a connection");
    for _ in 0..2 {
        let head = "PUT /seat HTTP/1.1\r\nhost: Menus.Example:80\r\ncontent-length: 2\r\n\r\nok";
        let (written, _) = stream.write_all(head).await.into();
        written.expect("a connection");
        let mut answer = String::new();
        while !answer.ends_with("\r\n\r\nok") {
            let (read, byte) = stream.read_exact(vec![0; 1]).await.into();
            read.expect("an answer");
            answer.push(char::from(byte[0]));
        }
        assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
        assert!(answer.contains("radishgap-outcome: ran\r\n"), "{answer}");
    }
}
