//! Admission through the gate.

use std::rc::Rc;
use std::time::{Duration, Instant};

use admission::{
    Advertised, Announced, Bulkhead, Gate, Lanes, Order, Permit, Reason, Request, Settings,
};
use futures_util::FutureExt;
use membership::{Backend, Phase};

fn announced(phase: Phase, version: &str, slots: u32) -> Announced {
    Announced {
        id: Default::default(),
        address: "127.0.0.1:1".parse().expect("an address"),
        backend: Backend {
            service: "menus".into(),
            version: version.into(),
            slots,
            connections: 9,
            phase,
            instance: 1,
        },
    }
}

fn request(alone: bool, left: Duration) -> Request {
    Request {
        workspace: "".into(),
        caller: "c".into(),
        service: "menus".into(),
        version: "v1".into(),
        route: 1,
        priority: 0,
        target: Instant::now() + left,
        deadline: Instant::now() + left,
        alone,
    }
}

const LONG: Duration = Duration::from_secs(60);

fn gate(slots: u32) -> Gate {
    let gate = Gate::new(Rc::new(Settings {
        queue_wait: units::Period::from_secs(60),
        ..Settings::default()
    }));
    gate.announce(Some(&announced(Phase::Ready, "v1", slots)));
    gate
}

/// Reason of the refusal, which must be returned without waiting; `None` if the request is admitted.
fn refused(gate: &Gate, request: &Request) -> Option<Reason> {
    let admitted = gate.admit(request).now_or_never().expect("no waiting");
    admitted.err().map(|refusal| refusal.reason)
}

#[compio::test]
async fn admit_by_phase() {
    let cases = [
        (None, Some(Reason::NoBackend)),
        (
            Some(announced(Phase::Starting, "v1", 4)),
            Some(Reason::Starting),
        ),
        (Some(announced(Phase::Ready, "v1", 4)), None),
        (
            Some(announced(Phase::Ready, "v2", 4)),
            Some(Reason::Mismatch),
        ),
        (
            Some(announced(Phase::Draining, "v1", 4)),
            Some(Reason::Draining),
        ),
    ];
    let gate = Gate::new(Rc::default());
    for (announced, wanted) in cases {
        gate.announce(announced.as_ref());
        assert_eq!(refused(&gate, &request(false, LONG)), wanted);
    }
    gate.announce(Some(&announced(Phase::Ready, "v1", 4)));
    gate.stop();
    assert_eq!(
        refused(&gate, &request(false, LONG)),
        Some(Reason::Stopping)
    );
}

#[compio::test]
async fn admit_past_deadline() {
    assert_eq!(
        refused(&gate(4), &request(false, Duration::ZERO)),
        Some(Reason::Late)
    );
}

#[compio::test]
async fn admit_within_deadline() {
    let gate = gate(4);
    let started = Instant::now();
    let (now, asked) = (started + Duration::from_secs(10), request(false, LONG));
    gate.admit(&asked).await.expect("a permit").finish(now);
    assert_eq!(
        refused(&gate, &request(false, Duration::from_secs(1))),
        Some(Reason::Late)
    );
    assert_eq!(
        refused(&gate, &request(false, Duration::from_secs(20))),
        None
    );
}

/// Guards against requests that an idle owner refuses for good, as it learned a long runtime once.
#[compio::test]
async fn admit_tries_an_old_runtime_while_idle() {
    const LEFT: Duration = Duration::from_millis(800);
    let gate = gate(4);
    let asked = request(false, LONG);
    let now = Instant::now() + Duration::from_secs(2);
    gate.admit(&asked).await.expect("a permit").finish(now);
    assert_eq!(refused(&gate, &request(false, LEFT)), Some(Reason::Late));
    compio::time::sleep(Duration::from_millis(2_100)).await;
    let trial = gate.admit(&request(false, LEFT)).await.expect("a trial");
    assert_eq!(refused(&gate, &request(false, LEFT)), Some(Reason::Late));
    trial.finish(Instant::now());
    for _ in 0..4 {
        assert_eq!(refused(&gate, &request(false, LEFT)), None);
    }
}

#[compio::test]
async fn admit_waits_for_slot() {
    let gate = gate(1);
    let asked = request(false, LONG);
    let first = gate.admit(&asked).await.expect("a permit");
    let mut second = Box::pin(gate.admit(&asked));
    assert!(second.as_mut().now_or_never().is_none());
    drop(first);
    assert!(second.await.is_ok());
    let dump = gate.dump();
    assert_eq!(
        (dump.running, dump.waiting, dump.counts.violations),
        (0, 0, 0)
    );
}

#[compio::test]
async fn admit_after_waiter_cancelled() {
    let gate = gate(1);
    let asked = request(false, LONG);
    let first = gate.admit(&asked).await.expect("a permit");
    let mut cancelled = Box::pin(gate.admit(&asked));
    let mut remaining = Box::pin(gate.admit(&asked));
    assert!(cancelled.as_mut().now_or_never().is_none());
    assert!(remaining.as_mut().now_or_never().is_none());
    drop(cancelled);
    drop(first);
    assert!(remaining.await.is_ok());
}

#[compio::test]
async fn admit_alone_excludes_others() {
    let gate = gate(16);
    let (asked, alone) = (request(false, LONG), request(true, LONG));
    let first = gate.admit(&asked).await.expect("a permit");
    let mut suspect = Box::pin(gate.admit(&alone));
    assert!(suspect.as_mut().now_or_never().is_none());
    let mut later = Box::pin(gate.admit(&asked));
    assert!(later.as_mut().now_or_never().is_none());
    drop(first);
    let permit = suspect.await.expect("a permit");
    assert!(Permit::is_alone(&permit));
    assert!(later.as_mut().now_or_never().is_none());
    drop(permit);
    assert!(later.await.is_ok());
    assert_eq!(gate.counts().violations, 0);
}

#[compio::test]
async fn drain_refuses_queued_requests() {
    let gate = gate(1);
    let asked = request(false, LONG);
    let first = gate.admit(&asked).await.expect("a permit");
    let mut waiting = Box::pin(gate.admit(&asked));
    assert!(waiting.as_mut().now_or_never().is_none());
    gate.announce(Some(&announced(Phase::Draining, "v1", 1)));
    let refusal = waiting.await.err().map(|refusal| refusal.reason);
    assert_eq!(refusal, Some(Reason::Draining));
    drop(first);
}

#[test]
fn lanes_are_served_round_robin() {
    let mut lanes = Lanes::default();
    for (caller, element) in [("a", 1), ("a", 2), ("a", 3), ("b", 4), ("c", 5)] {
        assert_eq!(lanes.push(&caller.into(), element, 9), None);
    }
    let order: Vec<_> = std::iter::from_fn(|| lanes.pop()).collect();
    assert_eq!(order, [1, 4, 5, 2, 3]);
    assert!(lanes.is_empty());
}

#[test]
fn lanes_full() {
    let mut lanes = Lanes::default();
    for element in 0..4 {
        lanes.push(&"busy".into(), element, 4);
    }
    assert_eq!(lanes.push(&"busy".into(), 9, 4), Some(9));
    assert_eq!(lanes.push(&"other".into(), 10, 4), Some(3));
    assert_eq!(lanes.len(), 4);
}

#[test]
fn bulkhead_leaves_capacity_for_others() {
    let bulkhead = Bulkhead::new(10);
    let slow: Vec<_> = (0..20)
        .filter_map(|_| bulkhead.acquire(&"slow".into()))
        .collect();
    assert_eq!(slow.len(), 10);
    drop(slow);
    let other = bulkhead.acquire(&"other".into());
    let slow: Vec<_> = (0..20)
        .filter_map(|_| bulkhead.acquire(&"slow".into()))
        .collect();
    assert_eq!((other.is_some(), slow.len()), (true, 5));
    let more: Vec<_> = (0..20)
        .filter_map(|_| bulkhead.acquire(&"other".into()))
        .collect();
    assert_eq!(more.len(), 4);
    drop((other, slow, more));
    assert_eq!(bulkhead.total(), 0);
}

#[compio::test]
async fn admit_short_request_among_long_ones() {
    let gate = gate(4);
    gate.announce(Some(&announced(Phase::Ready, "v1", 4)));
    let long = Duration::from_millis(200);
    for _ in 0..20 {
        let permit = gate
            .admit(&request(false, LONG))
            .await
            .expect("a free slot");
        permit.finish(Instant::now() + long);
    }
    // Half of the runtime of the long requests is left, far more than a short request takes.
    let short = Request {
        route: 2,
        ..request(false, long / 4)
    };
    let admitted = gate.admit(&short).await;
    assert!(admitted.is_ok(), "{:?}", admitted.err());
}

/// Gate with a rate limit of `per_second`, of which the initial token is used.
async fn rate_limited(per_second: f64) -> Gate {
    let gate = Gate::new(Rc::new(Settings {
        queue_wait: units::Period::from_secs(60),
        order: Order::Urgency,
        ..Settings::default()
    }));
    gate.announce(Some(&announced(Phase::Ready, "v1", 8)));
    gate.observe_rate(1, Advertised::Rate(units::Rate(per_second)), Instant::now());
    drop(gate.admit(&request(false, LONG)).await.expect("a permit"));
    gate
}

#[compio::test]
async fn limited_request_with_late_turn_is_refused_at_once() {
    let started = Instant::now();
    let gate = rate_limited(0.5).await;
    let refusal = gate
        .admit(&request(false, Duration::from_secs(1)))
        .now_or_never();
    let refusal = refusal.expect("no waiting").err().expect("a refusal");
    assert_eq!(refusal.reason, Reason::Limited);
    // The next turn is two seconds after the first request.
    let (retry_after, turn) = (refusal.retry_after, Duration::from_secs(2));
    assert!(
        retry_after <= turn && retry_after + started.elapsed() >= turn,
        "{retry_after:?}"
    );
    assert_eq!(gate.counts().refused_limited, 1);
}

#[compio::test]
async fn limited_request_waits_for_its_turn() {
    let gate = rate_limited(20.0).await;
    let started = Instant::now();
    let later = request(false, LONG);
    let urgent = Request {
        target: later.target - Duration::from_secs(1),
        ..later.clone()
    };
    let mut second = Box::pin(gate.admit(&later));
    assert!(second.as_mut().now_or_never().is_none());
    let first = gate.admit(&urgent).await.expect("a permit");
    // Turns are 50 ms apart, and the urgent request is first.
    assert!(started.elapsed() >= Duration::from_millis(40));
    assert!(second.as_mut().now_or_never().is_none());
    drop(first);
    assert!(second.await.is_ok());
    assert!(started.elapsed() >= Duration::from_millis(90));
}

#[compio::test]
async fn queued_request_is_refused_when_the_rate_falls() {
    let gate = rate_limited(0.5).await;
    let asked = request(false, Duration::from_secs(4));
    let mut waiting = Box::pin(gate.admit(&asked));
    assert!(waiting.as_mut().now_or_never().is_none());
    gate.observe_rate(1, Advertised::Rate(units::Rate(0.1)), Instant::now());
    let refused = waiting.as_mut().now_or_never().expect("no waiting");
    assert_eq!(
        refused.err().map(|refusal| refusal.reason),
        Some(Reason::Limited)
    );
}

#[compio::test]
async fn raised_rate_brings_turns_forward() {
    let gate = rate_limited(0.2).await;
    let asked = request(false, LONG);
    let waiting = gate.admit(&asked);
    let raised = async {
        gate.observe_rate(1, Advertised::Rate(units::Rate(10.0)), Instant::now());
    };
    let both = futures_util::future::join(waiting, raised);
    // At the previous rate the turn would be after five seconds.
    let ended = compio::time::timeout(Duration::from_secs(4), both).await;
    assert!(ended.is_ok_and(|(admitted, ())| admitted.is_ok()));
}

#[compio::test]
async fn lifted_rate_admits_queued_request() {
    let gate = rate_limited(0.5).await;
    let asked = request(false, LONG);
    let mut waiting = Box::pin(gate.admit(&asked));
    assert!(waiting.as_mut().now_or_never().is_none());
    // A late answer to a request sent before the rate was advertised.
    gate.observe_rate(
        1,
        Advertised::None,
        Instant::now() - Duration::from_secs(60),
    );
    assert!(waiting.as_mut().now_or_never().is_none());
    gate.observe_rate(1, Advertised::None, Instant::now());
    assert!(waiting.await.is_ok());
}

#[compio::test]
async fn restarted_backend_server_has_no_rate_limit() {
    let gate = rate_limited(0.1).await;
    let mut next = announced(Phase::Ready, "v1", 8);
    // The same start is still limited after it was unresponsive.
    gate.announce(None);
    gate.announce(Some(&next));
    assert_eq!(
        refused(&gate, &request(false, Duration::from_secs(1))),
        Some(Reason::Limited)
    );
    next.backend.instance = 2;
    gate.announce(Some(&next));
    assert_eq!(
        refused(&gate, &request(false, Duration::from_secs(1))),
        None
    );
    // A late answer of the previous start.
    gate.observe_rate(1, Advertised::Rate(units::Rate(0.1)), Instant::now());
    assert_eq!(
        refused(&gate, &request(false, Duration::from_secs(1))),
        None
    );
}

/// A process that is paused for longer than the lease of its backend server resumes with an expired
/// announcement, and must not admit requests under it.
#[compio::test]
async fn expired_announcement_admits_nothing() {
    let gate = gate(1);
    let asked = request(false, LONG);
    let running = gate.admit(&asked).await.expect("a permit");
    let mut waiting = Box::pin(gate.admit(&asked));
    assert!(waiting.as_mut().now_or_never().is_none());
    gate.expire_at(Instant::now());
    assert_eq!(
        refused(&gate, &request(false, LONG)),
        Some(Reason::NoBackend)
    );
    drop(running);
    assert!(
        waiting.as_mut().now_or_never().is_none(),
        "the request stays queued"
    );
    // A new announcement admits the queued request.
    gate.expire_at(Instant::now() + LONG);
    gate.announce(Some(&announced(Phase::Ready, "v1", 1)));
    assert!(waiting.await.is_ok());
}

/// Requests per second of a cold backend server.
const COLD_RATE: units::Rate = units::Rate(20.0);

#[compio::test]
async fn admit_cold_backend_server_waits_for_turn() {
    let gate = gate(64);
    gate.configure_warmup(COLD_RATE, LONG);
    gate.hear_warmup(1, Some(LONG));
    let permits = admit_all(&gate, 200, Duration::from_millis(1_000)).await;
    let bound = COLD_RATE.0 * 1.5 + 1.0;
    #[allow(clippy::cast_precision_loss)]
    let admitted = permits as f64;
    assert!(admitted <= bound, "{admitted} admitted in a second");
    assert!(admitted > COLD_RATE.0 / 2.0, "{admitted} admitted");
}

#[compio::test]
async fn admit_unknown_is_cold_until_announced() {
    let gate = gate(64);
    gate.configure_warmup(COLD_RATE, LONG);
    gate.hear_warmup(1, Some(Duration::ZERO));
    assert!(!gate.is_cold());
    gate.suspect_restart();
    gate.hear_warmup(1, Some(Duration::ZERO));
    assert!(gate.is_cold());
    let wait = admission::Warmup::STALE_ANNOUNCEMENT_LIMIT;
    compio::time::sleep(wait).await;
    gate.hear_warmup(1, Some(Duration::ZERO));
    assert!(!gate.is_cold());
}

#[compio::test]
async fn admit_evacuated_refuses_new_and_queued() {
    let gate = gate(1);
    gate.configure_warmup(COLD_RATE, LONG);
    gate.hear_warmup(1, Some(Duration::ZERO));
    let running = gate.admit(&request(false, LONG)).await.expect("a slot");
    let queued = {
        let gate = gate.clone();
        compio::runtime::spawn(async move { gate.admit(&request(false, LONG)).await.map(drop) })
    };
    compio::time::sleep(Duration::from_millis(5)).await;
    gate.set_evacuated(true);
    let refusal = queued.await.expect("no panic").expect_err("a refusal");
    assert_eq!(refusal.reason, Reason::Evacuated);
    let reason = refused(&gate, &request(false, LONG));
    assert_eq!(reason, Some(Reason::Evacuated));
    drop(running);
    gate.set_evacuated(false);
    assert!(gate.is_cold(), "it may have become cold meanwhile");
    gate.hear_warmup(1, Some(Duration::ZERO));
    assert_eq!(refused(&gate, &request(false, LONG)), None);
}

/// Number of `count` requests, sent together, that are admitted within `time`.
async fn admit_all(gate: &Gate, count: usize, time: Duration) -> usize {
    let admitted = Rc::new(std::cell::Cell::new(0));
    for _ in 0..count {
        let (gate, admitted) = (gate.clone(), admitted.clone());
        compio::runtime::spawn(async move {
            if gate.admit(&request(false, LONG)).await.is_ok() {
                admitted.set(admitted.get() + 1);
            }
        })
        .detach();
    }
    compio::time::sleep(time).await;
    admitted.get()
}

#[compio::test]
async fn admit_request_over_share_gives_its_place_to_another_workspace() {
    let gate = Gate::new(Rc::new(Settings {
        order: Order::Urgency,
        queue_wait: units::Period::from_secs(60),
        queue_slots: 1,
        adaptive: false,
        ..Settings::default()
    }));
    gate.announce(Some(&announced(Phase::Ready, "v1", 1)));
    let of = |workspace: &str, left: Duration| Request {
        workspace: workspace.into(),
        ..request(false, left)
    };
    let (loud, quiet) = (of("loud", LONG), of("quiet", 2 * LONG));
    let permit = gate.admit(&loud).await.expect("a free slot");
    permit.finish(Instant::now() + Duration::from_millis(100));
    let _running = gate.admit(&loud).await.expect("a free slot");
    for _ in 0..60 {
        assert!(gate.admit(&loud).now_or_never().is_none());
    }
    // The level is found anew.
    compio::time::sleep(Duration::from_millis(60)).await;
    let mut over = Box::pin(gate.admit(&loud));
    while gate.counts().over_share == 0 {
        assert!(over.as_mut().now_or_never().is_none());
        if gate.counts().over_share == 0 {
            over = Box::pin(gate.admit(&loud));
        }
    }
    let mut waiting = Box::pin(gate.admit(&quiet));
    assert!(waiting.as_mut().now_or_never().is_none());
    let refused = over.as_mut().now_or_never().expect("evicted");
    let reason = refused.err().map(|refusal| refusal.reason);
    assert_eq!(reason, Some(Reason::WorkspaceOverShare));
    assert!(waiting.as_mut().now_or_never().is_none());
    assert_eq!(gate.counts().refused_over_share, 1);
    assert_eq!(gate.dump().over_share, ["loud"]);
}
