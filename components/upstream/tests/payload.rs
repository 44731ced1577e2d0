//! Bodies that are sent more than once.

use bytes::Bytes;
use http_body_util::BodyExt;
use upstream::Payload;

fn payload(bytes: &'static [u8], keep: usize) -> Payload {
    Payload::new(Bytes::from_static(bytes).into(), keep)
}

#[compio::test]
async fn feed_again() {
    let payload = payload(b"booking", 64);
    for _ in 0..3 {
        let feed = payload.feed().expect("a feed");
        let whole = feed.collect().await.expect("a whole body").to_bytes();
        assert_eq!(whole, "booking");
    }
}

#[compio::test]
async fn feed_beyond_limit() {
    let payload = payload(b"booking", 3);
    let feed = payload.feed().expect("a feed");
    let whole = feed.collect().await.expect("a whole body").to_bytes();
    assert_eq!(whole, "booking");
    assert!(!payload.is_replayable());
    assert!(payload.feed().is_none());
}

#[compio::test]
async fn feed_after_another_started() {
    let payload = payload(b"booking", 64);
    let earlier = payload.feed().expect("a feed");
    let later = payload.feed().expect("a feed");
    assert!(earlier.collect().await.is_err());
    assert!(later.collect().await.is_ok());
}

#[compio::test]
async fn abandon_ends_with_error() {
    let payload = payload(b"booking", 64);
    let feed = payload.feed().expect("a feed");
    payload.abandon();
    assert!(feed.collect().await.is_err());
}

#[compio::test]
async fn read_head_keeps_beginning() {
    let payload = payload(b"booking", 64);
    payload.read_head().await;
    let hash = payload.head_hash();
    let feed = payload.feed().expect("a feed");
    assert_eq!(
        feed.collect().await.expect("a whole body").to_bytes(),
        "booking"
    );
    assert_eq!(payload.head_hash(), hash);
}
