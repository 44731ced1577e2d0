//! The client while the store comes back from a copy.

use std::time::Duration;

use platform::{Client, Error, Follow, Follower, Key, Object, Pace, Revision, Settings, Store};
use radishgap_platform::{Handle, Server};

struct Bench {
    client: Client,
    handle: Handle,
    _trigger: kernel::Trigger,
}

async fn open() -> Bench {
    let listen = "127.0.0.1:0".parse().expect("it is an address");
    let server = Server::bind(radishgap_platform::Settings::new(listen)).await;
    let server = server.expect("the port is free");
    let address = server.address().expect("it is bound");
    let handle = server.handle();
    let (trigger, stop) = kernel::stop();
    compio::runtime::spawn(server.run(stop)).detach();
    let client = Client::open(address, Settings::default()).expect("the client opens");
    Bench {
        client,
        handle,
        _trigger: trigger,
    }
}

fn key(name: &str) -> Key {
    format!("log/{name}").parse().expect("a valid key")
}

#[compio::test]
async fn write_on_a_revision_that_was_given_out_again_is_refused() {
    let bench = open().await;
    let copy = bench.handle.copy();
    let lost = bench.client.create(&key("a"), b"lost".to_vec()).await;
    let lost = lost.expect("it is created");
    bench.handle.restore(copy);
    let again = bench.client.create(&key("a"), b"again".to_vec()).await;
    let again = again.expect("it is created again");
    assert_eq!(
        again.counter(),
        lost.counter(),
        "the revision is given out again"
    );
    assert!(again > lost);
    let updated = bench.client.update(&key("a"), lost, b"late".to_vec()).await;
    assert_eq!(updated, Err(Error::Conflict));
    assert_eq!(
        bench.client.remove(&key("a"), lost).await,
        Err(Error::Conflict)
    );
    let held = bench.client.read(&key("a")).await.expect("it is read");
    assert_eq!(held.expect("it is there").value, b"again");
}

#[compio::test]
async fn write_that_meets_a_new_era_is_unknown() {
    let bench = open().await;
    let held = bench.client.create(&key("a"), b"1".to_vec()).await;
    let held = held.expect("it is created");
    bench.handle.restore(bench.handle.copy());
    let updated = bench.client.update(&key("a"), held, b"2".to_vec()).await;
    assert!(matches!(updated, Err(Error::Unknown(_))), "{updated:?}");
}

#[compio::test]
async fn watch_from_an_earlier_era_is_gone() {
    let bench = open().await;
    let from = bench.client.create(&key("a"), b"1".to_vec()).await;
    let from = from.expect("it is created");
    bench.handle.restore(bench.handle.copy());
    let watched = bench
        .client
        .watch("log/", from, Duration::from_millis(50))
        .await;
    assert_eq!(watched, Err(Error::Gone));
}

/// Keeps the newest value.
#[derive(Clone, Default)]
struct Newest(std::rc::Rc<std::cell::RefCell<Vec<u8>>>);

impl Follow for Newest {
    const NAME: &'static str = "newest";

    fn prefix(&self) -> &str {
        "log/"
    }

    fn take(&self, objects: Vec<Object>) {
        if let Some(object) = objects.into_iter().next_back() {
            *self.0.borrow_mut() = object.value;
        }
    }
}

#[compio::test]
async fn follower_misses_no_change_below_the_revision_that_it_has_read() {
    let bench = open().await;
    let copy = bench.handle.copy();
    let mut held = Revision::default();
    for name in ["a", "b", "c"] {
        held = bench
            .client
            .create(&key(name), b"lost".to_vec())
            .await
            .expect("it is created");
    }
    let pace = Pace {
        wait: Duration::from_millis(500),
        pause: Duration::ZERO,
        retry_least: Duration::from_millis(10),
        retry_most: Duration::from_millis(50),
    };
    let newest = Newest::default();
    let (follower, _nudge) = Follower::new(bench.client.clone(), pace);
    let (trigger, stop) = kernel::stop();
    compio::runtime::spawn(follower.run(newest.clone(), stop)).detach();
    compio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(*newest.0.borrow(), b"lost");
    bench.handle.restore(copy);
    let again = bench.client.create(&key("a"), b"again".to_vec()).await;
    assert!(again.expect("it is created").counter() < held.counter());
    compio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(*newest.0.borrow(), b"again");
    trigger.fire();
}
