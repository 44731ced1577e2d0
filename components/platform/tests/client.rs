//! Contract of the object API: the client against the stand-in, over real connections.

use std::time;

use platform::{Client, Error, Event, Key, Settings, Store};
use radishgap_platform::{Faults, Handle, Server};

/// The stand-in in this process, and a client of it.
struct Bench {
    client: Client,
    handle: Handle,
    trigger: kernel::Trigger,
    serving: compio::runtime::JoinHandle<()>,
}

fn client_settings() -> Settings {
    Settings {
        timeout: units::Period::from_millis(400),
        writes: units::Rate(300.0),
        reads: units::Rate(2_000.0),
        burst: 200,
        queue: units::Period::from_millis(100),
        ..Settings::default()
    }
}

impl Bench {
    async fn open(adjust: impl FnOnce(&mut radishgap_platform::Settings)) -> Self {
        let listen = "127.0.0.1:0".parse().expect("it is an address");
        let mut settings = radishgap_platform::Settings::new(listen);
        adjust(&mut settings);
        let server = Server::bind(settings).await.expect("the port is free");
        let address = server.address().expect("it is bound");
        let handle = server.handle();
        let (trigger, stop) = kernel::stop();
        let serving = compio::runtime::spawn(server.run(stop));
        let client = Client::open(address, client_settings()).expect("the client opens");
        Self {
            client,
            handle,
            trigger,
            serving,
        }
    }

    async fn close(self) {
        drop(self.client);
        self.trigger.fire();
        self.serving.await.expect("the stand-in stops");
    }
}

fn key(text: &str) -> Key {
    text.parse().expect("it is a key")
}

#[compio::test]
async fn objects_conditions() {
    let bench = Bench::open(|_| {}).await;
    let client = &bench.client;
    let one = key("log/1");
    assert_eq!(client.read(&one).await, Ok(None));
    let first = client.create(&one, vec![0, 255]).await.expect("absent");
    assert_eq!(client.create(&one, vec![1]).await, Err(Error::Conflict));
    let second = client.update(&one, first, vec![2]).await.expect("it fits");
    assert!(second > first);
    assert_eq!(
        client.update(&one, first, vec![3]).await,
        Err(Error::Conflict)
    );
    let read = client
        .read(&one)
        .await
        .expect("it answers")
        .expect("present");
    assert_eq!((read.revision, read.value), (second, vec![2]));
    assert_eq!(client.remove(&one, first).await, Err(Error::Conflict));
    assert_eq!(client.remove(&one, second).await, Ok(()));
    assert_eq!(client.remove(&one, second).await, Err(Error::Conflict));
    assert_eq!(
        client.update(&one, second, vec![1]).await,
        Err(Error::Conflict)
    );
    bench.close().await;
}

#[compio::test]
async fn values_limits() {
    let bench = Bench::open(|_| {}).await;
    let largest = vec![7; 1024 * 1024];
    let one = key("checkpoint/1");
    bench
        .client
        .create(&one, largest.clone())
        .await
        .expect("it fits");
    let read = bench.client.read(&one).await.expect("it answers");
    assert_eq!(read.map(|object| object.value.len()), Some(largest.len()));
    let mut larger = largest;
    larger.push(7);
    let refused = bench.client.create(&key("checkpoint/2"), larger).await;
    assert!(refused.is_err(), "above the limit");
    bench.close().await;
}

#[compio::test]
async fn list_prefix() {
    let bench = Bench::open(|_| {}).await;
    for name in ["log/2", "log/1", "logs/1", "lease/1"] {
        bench.client.create(&key(name), vec![1]).await.expect(name);
    }
    let listing = bench.client.list("log/").await.expect("it answers");
    let keys: Vec<_> = listing.objects.iter().map(|one| one.key.as_str()).collect();
    assert_eq!(keys, ["log/1", "log/2"]);
    assert_eq!(listing.revision.0, 4);
    bench.close().await;
}

#[compio::test]
async fn watch_cases() {
    let bench = Bench::open(|settings| settings.history = 2).await;
    let client = &bench.client;
    let from = client.list("log/").await.expect("it answers").revision;
    let short = time::Duration::from_millis(20);
    let empty = client.watch("log/", from, short).await.expect("it answers");
    assert!(empty.events.is_empty());
    let one = key("log/1");
    let long = time::Duration::from_secs(20);
    let watch = client.watch("log/", from, long);
    let write = client.create(&one, vec![9]);
    let (events, written) = futures_util::join!(watch, write);
    let written = written.expect("it is absent");
    let events = events.expect("the write is seen");
    assert!(matches!(&events.events[..], [Event::Put(object)] if object.value == [9]));
    client.remove(&one, written).await.expect("it fits");
    let later = client
        .watch("log/", events.revision, long)
        .await
        .expect("it answers");
    assert!(matches!(&later.events[..], [Event::Removed(removed, _)] if *removed == one));
    client.create(&one, vec![9]).await.expect("it is absent");
    assert_eq!(client.watch("log/", from, short).await, Err(Error::Gone));
    assert_eq!(bench.handle.counts().watches, 4);
    bench.close().await;
}

#[compio::test]
async fn create_fault_cases() {
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    let slow = Faults {
        slow_ms: 1_500,
        ..Faults::default()
    };
    let lost = Faults {
        lose_answers: 1.0,
        ..Faults::default()
    };
    for (name, faults, not_run, written) in [
        ("none", Faults::default(), true, 1),
        ("outage", outage, true, 0),
        ("slow", slow, false, 0),
        ("lost answer", lost, false, 1),
    ] {
        let bench = Bench::open(|_| {}).await;
        bench.handle.set_faults(faults);
        let created = bench.client.create(&key("log/1"), vec![1]).await;
        assert_eq!(created.is_ok(), faults == Faults::default(), "{name}");
        let claimed = created.err().is_none_or(|error| error.is_not_run());
        assert_eq!(claimed, not_run, "{name}");
        assert_eq!(bench.handle.objects(), written, "{name}");
        bench.handle.set_faults(Faults::default());
        bench.close().await;
    }
}

#[compio::test]
async fn watch_broken_off() {
    let bench = Bench::open(|_| {}).await;
    let long = time::Duration::from_secs(20);
    let watch = bench.client.watch("log/", platform::Revision(0), long);
    let drop_watches = async {
        while bench.handle.counts().watches == 0 {
            compio::time::sleep(time::Duration::from_millis(1)).await;
        }
        bench.handle.set_faults(Faults {
            drop_watches: true,
            ..Faults::default()
        });
    };
    let (watched, ()) = futures_util::join!(watch, drop_watches);
    assert!(matches!(watched, Err(Error::Unknown(_))), "{watched:?}");
    bench.close().await;
}

#[compio::test]
async fn call_unreachable() {
    let bench = Bench::open(|_| {}).await;
    let address = "127.0.0.1:9".parse().expect("it is an address");
    let client = Client::open(address, client_settings()).expect("the client opens");
    for _ in 0..client_settings().breaker_failures {
        let created = client.create(&key("log/1"), vec![1]).await;
        assert!(matches!(created, Err(Error::Unavailable(_))), "{created:?}");
    }
    assert!(client.is_broken());
    let created = client.create(&key("log/1"), vec![1]).await;
    assert!(matches!(created, Err(Error::Unavailable(_))), "{created:?}");
    assert_eq!(client.counts().broken, 1);
    bench.close().await;
}

#[compio::test]
async fn call_throttled() {
    let bench = Bench::open(|settings| settings.writes = units::Rate(1.0)).await;
    bench
        .client
        .create(&key("log/1"), vec![1])
        .await
        .expect("the first");
    let refused = bench.client.create(&key("log/2"), vec![1]).await;
    assert!(matches!(refused, Err(Error::Throttled(_))), "{refused:?}");
    let held = bench.client.create(&key("log/2"), vec![1]).await;
    assert!(matches!(held, Err(Error::Throttled(_))), "{held:?}");
    assert_eq!(bench.handle.counts().writes, 2, "the third is not sent");
    bench.close().await;
}
