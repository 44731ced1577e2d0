//! What tells a request from others when backend servers crash.

use node::call::Fingerprint;
use upstream::Payload;

fn fingerprint(path: &str, caller: &str, length: Option<&str>, body: &'static str) -> u64 {
    let mut request = http::Request::post(path);
    if let Some(length) = length {
        request = request.header(http::header::CONTENT_LENGTH, length);
    }
    let (head, ()) = request.body(()).expect("a request").into_parts();
    let payload = Payload::new(bytes::Bytes::from_static(body.as_bytes()).into(), 65_536);
    Fingerprint::new(&head, caller, payload).value()
}

/// A request that crashes backend servers comes again with its body in chunks, and others have its
/// path.
#[test]
fn value_cases() {
    let one = fingerprint("/seats/2f", "menus", Some("4"), "body");
    let cases = [
        (
            "the same",
            fingerprint("/seats/2f", "menus", Some("4"), "body"),
            true,
        ),
        (
            "in chunks",
            fingerprint("/seats/2f", "menus", None, "body"),
            true,
        ),
        (
            "another caller",
            fingerprint("/seats/2f", "archives", Some("4"), "body"),
            false,
        ),
        (
            "another path",
            fingerprint("/seats/30", "menus", Some("4"), "body"),
            false,
        ),
        (
            "another query",
            fingerprint("/seats/2f?a", "menus", Some("4"), "body"),
            false,
        ),
    ];
    for (name, other, same) in cases {
        assert_eq!(one == other, same, "{name}");
    }
}

#[compio::test]
async fn value_of_body() {
    let head = || {
        let (head, ()) = http::Request::post("/seats")
            .body(())
            .expect("a request")
            .into_parts();
        head
    };
    let mut values = Vec::new();
    for body in ["one", "two", "one"] {
        let payload = Payload::new(body.to_owned().into(), 65_536);
        payload.read_head().await;
        values.push(Fingerprint::new(&head(), "menus", payload).value());
    }
    assert_ne!(values[0], values[1]);
    assert_eq!(values[0], values[2]);
}
