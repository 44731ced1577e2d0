//! HTTP/1.1 connections to a backend server, in a table of what can go wrong.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use http_body_util::BodyExt;
use upstream::{Cause, Dialer, Feed, Lines, Outcome, Sending, Settings};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmenu";

/// Answers the requests of each connection with the given texts, then closes it.
async fn serve(connections: Vec<Vec<&'static str>>) -> units::Address {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = units::Address(listener.local_addr().expect("it is bound"));
    compio::runtime::spawn(async move {
        for answers in connections {
            let (stream, _) = listener.accept().await.expect("a connection");
            answer(stream, answers).await;
        }
    })
    .detach();
    address
}

/// Answers the requests of all connections side by side, and closes none.
async fn serve_all() -> units::Address {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = units::Address(listener.local_addr().expect("it is bound"));
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            compio::runtime::spawn(answer(stream, vec![OK; 10])).detach();
        }
    })
    .detach();
    address
}

async fn answer(mut stream: TcpStream, answers: Vec<&'static str>) {
    for answer in answers {
        let read = stream.read(vec![0; 4096]).await;
        if read.0.unwrap_or(0) == 0 {
            return;
        }
        let written = stream.write_all(answer.as_bytes().to_vec()).await;
        written.0.expect("it is written");
    }
    let _ = stream.close().await;
}

fn lines(address: units::Address) -> Lines {
    let settings = Settings {
        connections: 4,
        ..Settings::default()
    };
    Lines::new(address, Rc::new(settings), Dialer::new(500))
}

fn request() -> http::Request<Feed> {
    let mut request = http::Request::new(Feed::empty());
    *request.uri_mut() = http::Uri::from_static("/menu");
    request
}

/// Sends one request and reads its answer to the end; `None` when the body broke off.
async fn exchange(lines: &Lines) -> Result<Option<String>, Cause> {
    let reply = lines
        .send(request())
        .await
        .map_err(|failure| failure.cause)?;
    let body = reply.response.into_body().collect().await;
    Ok(body
        .ok()
        .map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned()))
}

/// Guards against a server that is handed the time that a request had left before its connection was opened.
#[compio::test]
async fn time_left_is_written_when_the_connection_is_open() {
    const LEFT: Duration = Duration::from_secs(2);
    const PER_SECOND: u32 = 5;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = units::Address(listener.local_addr().expect("it is bound"));
    let dialer = Dialer::new(PER_SECOND);
    let now = Instant::now();
    while dialer.reserve(now) < Duration::from_millis(400) {}
    let lines = Lines::new(address, Rc::new(Settings::default()), dialer);
    let mut request = request();
    request.extensions_mut().insert(Sending {
        identity: 1,
        header: http::HeaderName::from_static("x-left"),
        deadline: now + LEFT,
    });
    let sending = compio::runtime::spawn(async move { lines.send(request).await.map(drop) });
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let read = stream.read(vec![0; 4096]).await;
    let waited = now.elapsed();
    let text = String::from_utf8(read.1).expect("text");
    let line = text.lines().find_map(|line| line.strip_prefix("x-left: "));
    let told: u64 = line.expect("a header").parse().expect("a number");
    assert!(waited > Duration::from_millis(300), "{waited:?}");
    let most = LEFT.as_millis() - waited.as_millis() + 50;
    assert!(u128::from(told) <= most, "{told} ms of {most} left");
    drop(sending);
}

/// Guards against a second copy of a refusal that is taken for the answer to the same request, sent again.
#[compio::test]
async fn request_that_is_sent_again_takes_another_connection() {
    let lines = lines(serve_all().await);
    let cases = [(1, true, 1), (2, false, 1), (1, true, 2), (3, false, 2)];
    for (identity, is_first, opened) in cases {
        let mut request = request();
        request.extensions_mut().insert(Sending {
            identity,
            header: http::HeaderName::from_static("x-left"),
            deadline: Instant::now() + Duration::from_secs(5),
        });
        let reply = lines.send(request).await.expect("an answer");
        assert_eq!(reply.is_first, is_first, "{identity}");
        let body = reply.response.into_body().collect().await;
        drop(reply.lease);
        assert!(body.is_ok(), "{identity}");
        assert_eq!(lines.counts().opened, opened, "{identity}");
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[compio::test]
async fn connection_is_used_again() {
    let address = serve(vec![vec![OK, OK, OK]]).await;
    let lines = lines(address);
    for _ in 0..3 {
        assert_eq!(exchange(&lines).await, Ok(Some("menu".into())));
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(lines.counts().opened, 1);
}

#[compio::test]
async fn answers_cases() {
    let whole = Ok(Some("menu".to_owned()));
    let cases = [
        ("whole", OK, whole.clone()),
        ("closed without an answer", "", Err(Cause::Broken)),
        (
            "no answer in the protocol",
            "menu\r\n\r\n",
            Err(Cause::Broken),
        ),
        (
            "cut in the head",
            "HTTP/1.1 200 OK\r\ncont",
            Err(Cause::Broken),
        ),
        (
            "cut in the body",
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nmenu",
            Ok(None),
        ),
        (
            "without length",
            "HTTP/1.1 200 OK\r\n\r\nmenu",
            whole.clone(),
        ),
    ];
    for (name, text, expected) in cases {
        let address = serve(vec![vec![text], vec![OK]]).await;
        let lines = lines(address);
        let got = exchange(&lines).await;
        assert_eq!(got, expected, "{name}");
        if let Err(cause) = got {
            assert_eq!(cause.outcome(), Outcome::Unknown, "{name}");
        }
        compio::time::sleep(Duration::from_millis(20)).await;
        // The next request never gets anything of the answer before it.
        assert_eq!(exchange(&lines).await, whole, "after: {name}");
    }
}

#[compio::test]
async fn extra_answer_belongs_to_nobody() {
    const TWICE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmenuHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra";
    let address = serve(vec![vec![TWICE, OK], vec![OK]]).await;
    let lines = lines(address);
    assert_eq!(exchange(&lines).await, Ok(Some("menu".into())));
    compio::time::sleep(Duration::from_millis(20)).await;
    assert_eq!(exchange(&lines).await, Ok(Some("menu".into())));
    assert_eq!(lines.counts().opened, 2);
}

#[compio::test]
async fn idle_time_that_the_server_names() {
    const SHORT: &str = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=1\r\ncontent-length: 4\r\n\r\nmenu";
    let address = serve(vec![vec![SHORT, OK], vec![OK]]).await;
    let lines = lines(address);
    assert_eq!(exchange(&lines).await, Ok(Some("menu".into())));
    compio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(exchange(&lines).await, Ok(Some("menu".into())));
    assert_eq!(lines.counts().opened, 2);
}

#[compio::test]
async fn nobody_listens() {
    let lines = lines("127.0.0.1:9".parse().expect("an address"));
    let cause = exchange(&lines).await.expect_err("nobody listens");
    assert_eq!(cause, Cause::Connect);
    assert_eq!(cause.outcome(), Outcome::NotRun);
}

#[compio::test]
async fn request_given_up_closes_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = units::Address(listener.local_addr().expect("it is bound"));
    let lines = lines(address);
    let sending = compio::time::timeout(Duration::from_millis(50), lines.send(request()));
    let accepting = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        loop {
            let read = stream.read(vec![0; 4096]).await;
            if read.0.unwrap_or(0) == 0 {
                return;
            }
        }
    };
    let closed = compio::time::timeout(Duration::from_secs(2), accepting);
    let (sent, closed) = futures_util::future::join(sending, closed).await;
    assert!(sent.is_err(), "it was answered");
    assert!(closed.is_ok(), "the connection is still open");
}

#[compio::test]
async fn server_up_after_a_broken_connection() {
    let address = serve(vec![vec![""], vec![OK]]).await;
    let lines = lines(address);
    assert_eq!(exchange(&lines).await, Err(Cause::Broken));
    assert!(lines.is_up().await, "it takes connections");
    assert_eq!(exchange(&lines).await, Ok(Some("menu".into())));
    let gone = self::lines("127.0.0.1:9".parse().expect("an address"));
    assert!(!gone.is_up().await, "nobody listens");
}

/// The end of a crash reaches connections one by one, and requests dial meanwhile: a crash was taken
/// for a lost answer.
#[compio::test]
async fn server_gone_while_a_connection_lingers() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = units::Address(listener.local_addr().expect("it is bound"));
    let lines = lines(address);
    let accepting = async {
        let (first, _) = listener.accept().await.expect("a connection");
        let (second, _) = listener.accept().await.expect("a connection");
        listener.close().await.expect("it is closed");
        let _ = first.close().await;
        second
    };
    let both = futures_util::future::select(
        Box::pin(lines.send(request())),
        Box::pin(lines.send(request())),
    );
    let (second, pending) = futures_util::future::join(accepting, both).await;
    assert!(!lines.is_up().await, "nobody listens");
    drop((second, pending));
}
