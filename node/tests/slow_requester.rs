//! A requester that does not read holds no backend server beyond the deadline.

use std::cell;
use std::collections::VecDeque;
use std::future;
use std::pin;
use std::rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body::Body;
use node::call::{BodyEnd, BodyObserver, ResponseBody, Source};

/// Keeps how the body ended.
struct Kept(rc::Rc<cell::Cell<Option<BodyEnd>>>);

impl BodyObserver for Kept {
    fn end(self, ended: BodyEnd) {
        self.0.set(Some(ended));
    }
}

/// Guards against a caller that stops reading an answer and keeps a slot of the backend server for good.
#[compio::test]
async fn body_that_is_not_read_ends_at_its_deadline() {
    const TIMEOUT: Duration = Duration::from_millis(50);
    let ended = rc::Rc::new(cell::Cell::new(None));
    let parts = VecDeque::from([Bytes::from_static(b"a"), Bytes::from_static(b"b")]);
    let source = Source::Chained(parts, Box::new(Source::memory(Bytes::from_static(b"c"))));
    let observer = Kept(ended.clone());
    let mut body = ResponseBody::new(source, Some(observer), Instant::now() + TIMEOUT);
    let part = future::poll_fn(|context| pin::Pin::new(&mut body).poll_frame(context)).await;
    assert!(matches!(part, Some(Ok(_))));
    compio::time::sleep(4 * TIMEOUT).await;
    assert_eq!(ended.get(), Some(BodyEnd::Truncated));
    let part = future::poll_fn(|context| pin::Pin::new(&mut body).poll_frame(context)).await;
    assert!(matches!(part, Some(Err(_))));
}
