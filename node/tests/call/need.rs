//! Backend servers in need: what they say of themselves in their answers.

use std::time::{Duration, Instant};

use futures_util::future;

use crate::backend::Backend;
use crate::caller::Caller;
use crate::fleet::Fleet;

/// Most requests that a backend server with the limit `rate` may get in a time of `elapsed`.
fn allowed(rate: f64, elapsed: Duration) -> f64 {
    1.5 * rate * elapsed.as_secs_f64().max(4.0) + 5.0
}

#[compio::test]
async fn limit_named_by_backend_server_is_kept() {
    let backend = Backend::default();
    let (address, _stop) = backend.start().await;
    let mut fleet = Fleet::start(&[address]).await;
    let other = fleet.add_ingress().await;
    backend.say("radishgap-rate-limit", "5");
    let callers = [0, other].map(|node| fleet.nodes[node].callers);
    let [one, other] = callers.map(Caller::open);
    let (one, other) = (one.await, other.await);
    for caller in [&one, &other] {
        assert_eq!(caller.send("GET", "/menu").await.status, 200);
    }
    let (started, before) = (Instant::now(), backend.total());
    for _ in 0..10 {
        let sent = (0..8).map(|index| {
            let caller = if index % 2 == 0 { &one } else { &other };
            caller.send("GET", "/menu")
        });
        for got in future::join_all(sent).await {
            assert!(got.status == 200 || got.outcome == "not-run", "{got:?}");
        }
    }
    let (got, most) = (backend.total() - before, allowed(5.0, started.elapsed()));
    assert!(
        u32::try_from(got)
            .map(f64::from)
            .is_ok_and(|got| got <= most),
        "{got} of {most}"
    );
}
