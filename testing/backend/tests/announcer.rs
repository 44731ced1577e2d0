//! Contract of the announcements that the stand-in sends.

use std::time;

use futures_channel::mpsc;
use futures_util::StreamExt;
use kernel::Service;
use radishgap_backend::{Announcer, Faults, Health, Load, Settings, State};
use schema::announce::announce_server::{Announce, AnnounceServer};
use schema::announce::{Acknowledgement, Announcement, Phase};

/// A node's port for announcements.
struct Node {
    sender: mpsc::UnboundedSender<Announcement>,
}

#[tonic::async_trait]
impl Announce for Node {
    async fn announce(
        &self,
        request: tonic::Request<Announcement>,
    ) -> Result<tonic::Response<Acknowledgement>, tonic::Status> {
        let _ = self.sender.unbounded_send(request.into_inner());
        let acknowledgement = Acknowledgement { lease_ms: 30 };
        Ok(tonic::Response::new(acknowledgement))
    }
}

struct Bench {
    state: State,
    announced: mpsc::UnboundedReceiver<Announcement>,
    _stops: [kernel::Trigger; 2],
}

async fn start() -> Bench {
    let text = r#"{"listen": "127.0.0.1:0", "service": "bookdesk", "version": "v1", "slots": 4}"#;
    let settings: Settings = settings::parse(text).expect("settings");
    let (state, changes) = State::new(settings).expect("state");
    let (sender, announced) = mpsc::unbounded();
    let routes = tonic::service::Routes::new(AnnounceServer::new(Node { sender }));
    let address = "127.0.0.1:0".parse().expect("address");
    let server = web::Server::bind(address, web::Limits::default());
    let server = server.await.expect("listener");
    let node = server.address().expect("address");
    let (first, stop) = kernel::stop();
    compio::runtime::spawn(server.run(web::Grpc::new(routes), stop)).detach();
    let own = "127.0.0.1:9000".parse().expect("address");
    let announcer = Announcer::new(state.clone(), changes, node, own);
    let (second, stop) = kernel::stop();
    compio::runtime::spawn(announcer.run(stop)).detach();
    Bench {
        state,
        announced,
        _stops: [first, second],
    }
}

/// Waits for an announcement that `fits`.
async fn wait(bench: &mut Bench, fits: impl Fn(&Announcement) -> bool) -> Announcement {
    const LIMIT: time::Duration = time::Duration::from_secs(30);
    let next = async {
        loop {
            let announcement = bench.announced.next().await.expect("an announcement");
            if fits(&announcement) {
                return announcement;
            }
        }
    };
    compio::time::timeout(LIMIT, next).await.expect("in time")
}

#[compio::test]
async fn announce_phases() {
    let mut bench = start().await;
    let first = wait(&mut bench, |one| one.phase() == Phase::Starting).await;
    assert_eq!(first.service, "bookdesk");
    assert_eq!((first.slots, first.connections), (4, 120));
    assert_eq!(first.instance, bench.state.instance());
    for phase in [Phase::Ready, Phase::Draining] {
        bench.state.enter(phase);
        wait(&mut bench, |one| one.phase() == phase).await;
    }
}

#[compio::test]
async fn announce_repeats() {
    let mut bench = start().await;
    for _ in 0..3 {
        wait(&mut bench, |_| true).await;
    }
}

#[compio::test]
async fn announce_lies() {
    let mut bench = start().await;
    let idle = Faults {
        load: Load::Full,
        health: Health::Unhealthy,
        ..Faults::default()
    };
    bench.state.set_faults(idle);
    wait(&mut bench, |one| !one.healthy && one.load == 10_000).await;
    bench.state.set_faults(Faults::default());
    wait(&mut bench, |one| one.healthy && one.load == 0).await;
    let slot = bench.state.take_slot();
    wait(&mut bench, |one| one.load == 2_500).await;
    bench.state.set_faults(Faults {
        load: Load::Idle,
        ..Faults::default()
    });
    wait(&mut bench, |one| one.load == 0).await;
    drop(slot);
}

#[compio::test]
async fn announce_lags() {
    let mut bench = start().await;
    wait(&mut bench, |one| one.load == 0).await;
    bench.state.set_faults(Faults {
        lag: units::Period::from_secs(3600),
        ..Faults::default()
    });
    let _slot = bench.state.take_slot();
    for _ in 0..3 {
        assert_eq!(wait(&mut bench, |_| true).await.load, 0);
    }
}
