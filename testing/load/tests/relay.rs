//! The relay carries bytes, and goes silent without closing.

use std::time;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net;
use radishgap_load::relay::Relay;

/// A server that sends back what it gets.
async fn echo() -> units::Address {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.expect("port");
    let address = listener.local_addr().expect("address");
    compio::runtime::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            compio::runtime::spawn(async move {
                loop {
                    let compio::buf::BufResult(read, bytes) = stream.read(vec![0; 64]).await;
                    let Ok(length @ 1..) = read else { return };
                    let bytes = bytes[..length].to_vec();
                    if stream.write_all(bytes).await.0.is_err() {
                        return;
                    }
                }
            })
            .detach();
        }
    })
    .detach();
    units::Address(address)
}

async fn exchange(stream: &mut net::TcpStream) -> usize {
    stream.write_all(b"hello".to_vec()).await.0.expect("sent");
    let read = stream.read(vec![0; 64]);
    read.await.0.expect("received")
}

#[compio::test]
async fn relay_silence() {
    let target = echo().await;
    let listen = "127.0.0.1:0".parse().expect("address");
    let relay = Relay::open(listen, target, time::Duration::ZERO).await;
    let relay = relay.expect("relay");
    let free = relay.address();
    let mut old = net::TcpStream::connect(free.0).await.expect("connected");
    assert_eq!(exchange(&mut old).await, 5);
    assert_eq!(relay.silence(), 1);
    let short = time::Duration::from_millis(100);
    let answer = compio::time::timeout(short, exchange(&mut old)).await;
    assert!(
        answer.is_err(),
        "a silent connection neither answers nor closes"
    );
    let mut new = net::TcpStream::connect(free.0).await.expect("connected");
    assert_eq!(exchange(&mut new).await, 5);
}
