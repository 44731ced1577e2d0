//! The fake store keeps the contract of the object API.

use std::time;

use fakes::Faults;
use platform::{Error, Event, Key, Revision, Store};

const WAIT: time::Duration = time::Duration::from_millis(5);

fn key(text: &str) -> Key {
    text.parse().expect("it is a key")
}

#[compio::test]
async fn write_conditions() {
    let store = fakes::Store::default();
    let one = key("log/1");
    let first = store.create(&one, vec![1]).await.expect("it is absent");
    assert_eq!(store.create(&one, vec![2]).await, Err(Error::Conflict));
    let second = store.update(&one, first, vec![2]).await.expect("it fits");
    assert_eq!(
        store.update(&one, first, vec![3]).await,
        Err(Error::Conflict)
    );
    assert_eq!(store.remove(&one, first).await, Err(Error::Conflict));
    store.remove(&one, second).await.expect("it fits");
    assert_eq!(store.read(&one).await, Ok(None));
}

#[compio::test]
async fn watch_wakes() {
    let store = fakes::Store::default();
    let writer = store.clone();
    let write = async move { writer.create(&key("log/1"), vec![1]).await };
    let wait = time::Duration::from_secs(20);
    let watch = store.watch("log/", Revision(0), wait);
    let (events, _) = futures_util::join!(watch, write);
    let events = events.expect("the write is seen").events;
    assert!(matches!(&events[..], [Event::Put(object)] if object.value == [1]));
}

#[compio::test]
async fn watch_gone() {
    let store = fakes::Store::default();
    store.plant(&key("log/1"), vec![1]);
    store.forget_history();
    let watched = store.watch("log/", Revision(0), WAIT).await;
    assert_eq!(watched, Err(Error::Gone));
}

#[compio::test]
async fn create_fault_cases() {
    for (name, faults, unknown, written) in [
        (
            "outage",
            Faults {
                outage: true,
                ..Faults::default()
            },
            false,
            false,
        ),
        (
            "throttled",
            Faults {
                throttled: Some(WAIT),
                ..Faults::default()
            },
            false,
            false,
        ),
        (
            "lost answer",
            Faults {
                lost_answers: 1,
                ..Faults::default()
            },
            true,
            true,
        ),
        (
            "lost request",
            Faults {
                lost_requests: 1,
                ..Faults::default()
            },
            true,
            false,
        ),
    ] {
        let store = fakes::Store::default();
        store.set_faults(faults);
        let created = store.create(&key("log/1"), vec![1]).await;
        let error = created.expect_err(name);
        assert_eq!(error.is_not_run(), !unknown, "{name}");
        assert_eq!(!store.peek("log/").is_empty(), written, "{name}");
    }
}
