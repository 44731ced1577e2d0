//! Fleet of relays for tests.

use std::cell;
use std::rc;
use std::time;

use membership::{Member, Ranks, Reader, State, View};
use platform::{Event, Revision, Store as _};
use relay::{Parts, Relay, Replica, Settings, Topic};

use crate::store::NodeStore;

/// Longest time until a condition has to hold.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);
const POLL: time::Duration = time::Duration::from_millis(5);

pub(crate) const CONFIG: &str = "config/";
pub(crate) const ROLLOUTS: &str = "rollouts/";

/// Nodes that share a store, a network and a view of the members.
pub(crate) struct Fleet {
    pub(crate) store: fakes::Store,
    pub(crate) network: fakes::Network,
    pub(crate) members: Reader,
    pub(crate) nodes: Vec<Running>,
    centres: usize,
    joined: bool,
    /// Time after which a withdrawn key must not work; zero if nodes need not know.
    revocation: time::Duration,
}

/// A running node.
pub(crate) struct Running {
    pub(crate) member: rc::Rc<Member>,
    pub(crate) store: NodeStore,
    pub(crate) known_revision: rc::Rc<cell::Cell<u64>>,
    /// Version of the configuration, as a reader of the replica sees it.
    pub(crate) known_version: rc::Rc<cell::Cell<Option<u64>>>,
    /// Keys of the orders, as a reader of the replica sees them.
    pub(crate) known_orders: rc::Rc<cell::RefCell<Vec<String>>>,
    pub(crate) dump: Box<dyn Fn() -> relay::Dump>,
    pub(crate) certainty: relay::Certainty,
    replica: Replica<NodeStore, fakes::Link>,
    trigger: kernel::Trigger,
}

/// Settings with a longer `apply`, as hundreds of nodes in a debug build need more time.
pub(crate) fn settings() -> Settings {
    Settings {
        apply: units::Period::from_secs(4),
        ..Settings::default()
    }
}

fn topic(prefix: &'static str) -> Topic {
    Topic {
        prefix,
        wait: (prefix == ROLLOUTS).then(|| settings().apply.0),
        pause: time::Duration::from_millis(50),
        version: version_in,
        removals: prefix == ROLLOUTS,
    }
}

/// Version in the value of a configuration.
fn version_in(value: &[u8]) -> Option<u64> {
    value.get(..8)?.try_into().ok().map(u64::from_be_bytes)
}

/// Polls until `condition` holds.
pub(crate) async fn wait_until(name: &str, condition: impl Fn() -> bool) {
    let started = time::Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < TIMEOUT,
            "{name}: condition not met within {TIMEOUT:?}"
        );
        compio::time::sleep(POLL).await;
    }
}

impl Fleet {
    /// Starts `count` nodes in `centres` data centres and waits until all have the configuration.
    pub(crate) async fn open(count: usize, centres: usize) -> Self {
        let fleet = Self::open_unsynced(count, centres, true);
        fleet.wait_for_config("start").await;
        fleet
    }

    /// Starts nodes without waiting; `joined` is whether they know each other.
    pub(crate) fn open_unsynced(count: usize, centres: usize, joined: bool) -> Self {
        Self::open_with(count, centres, joined, time::Duration::ZERO)
    }

    /// Starts nodes at which withdrawn keys must not work after `revocation`.
    pub(crate) fn open_strict(count: usize, centres: usize, revocation: time::Duration) -> Self {
        Self::open_with(count, centres, true, revocation)
    }

    fn open_with(count: usize, centres: usize, joined: bool, revocation: time::Duration) -> Self {
        let mut fleet = Self {
            store: fakes::Store::default(),
            network: fakes::Network::new(7),
            members: Reader::default(),
            nodes: Vec::new(),
            centres,
            joined,
            revocation,
        };
        fleet.change_config();
        let members: Vec<_> = (0..count).map(|number| fleet.member(number)).collect();
        fleet.members.set(View::new(members.clone(), 1));
        for member in members {
            fleet.start(member);
        }
        fleet
    }

    /// Starts a node without any state.
    pub(crate) fn start(&mut self, member: rc::Rc<Member>) {
        let (peers, incoming) = kernel::mailbox(256);
        let link = self.network.link(member.node.clone(), member.peer_address);
        let mut router = peer::Router::default();
        let name = Relay::<NodeStore, fakes::Link>::PEER_NAME;
        router
            .register(name, peers)
            .expect("name is not registered yet");
        link.serve(router);
        let store = NodeStore {
            store: self.store.clone(),
            disconnected: rc::Rc::default(),
            calls: rc::Rc::default(),
        };
        let joined = self.joined;
        let parts = Parts {
            node: member.node.clone(),
            data_centre: member.data_centre.clone(),
            store: store.clone(),
            link,
            members: self.members.clone(),
            joined: Box::new(move || joined),
            settings: Settings {
                revocation: units::Period(self.revocation),
                ..settings()
            },
        };
        let relay = Relay::new(parts, [CONFIG, ROLLOUTS].map(topic).into(), incoming);
        let replica = relay.replica();
        let orders = relay.replica();
        let dump = Box::new(relay.dump());
        let certainty = relay.certainty();
        let (trigger, stop) = kernel::stop();
        compio::runtime::spawn(kernel::Service::run(relay, stop)).detach();
        let known_revision = rc::Rc::new(cell::Cell::new(0));
        let known_version = rc::Rc::default();
        compio::runtime::spawn(record_config(
            replica.clone(),
            known_revision.clone(),
            rc::Rc::clone(&known_version),
        ))
        .detach();
        let known_orders = rc::Rc::default();
        compio::runtime::spawn(record_orders(orders, rc::Rc::clone(&known_orders))).detach();
        self.nodes.push(Running {
            member,
            store,
            known_revision,
            known_version,
            known_orders,
            dump,
            certainty,
            replica,
            trigger,
        });
    }

    /// Adds nodes without any state that start together; `numbers` are not in use yet.
    pub(crate) fn add(&mut self, numbers: std::ops::Range<usize>) {
        let view = self.members.get();
        let added: Vec<_> = numbers.map(|number| self.member(number)).collect();
        let members = view.members().iter().cloned().chain(added.iter().cloned());
        self.members.set(View::new(
            members.collect::<Vec<_>>(),
            view.generation() + 1,
        ));
        for member in added {
            self.start(member);
        }
    }

    /// Writes a new revision of the configuration to the store.
    pub(crate) fn change_config(&self) -> Revision {
        let key = "config/main".parse().expect("valid key");
        self.store.plant(&key, vec![b'x'; 100])
    }

    /// Writes a version of the configuration to the store.
    pub(crate) fn put_version(&self, version: u64) {
        let key = "config/main".parse().expect("valid key");
        self.store.plant(&key, version.to_be_bytes().to_vec());
    }

    /// Waits until all nodes have `version` of the configuration.
    pub(crate) async fn wait_for_version(&self, name: &str, version: u64) {
        wait_until(name, || {
            self.nodes
                .iter()
                .all(|node| node.known_version.get() == Some(version))
        })
        .await;
    }

    /// Revision of the configuration in the store.
    pub(crate) fn head(&self) -> u64 {
        let objects = self.store.peek(CONFIG);
        objects[0].revision.0
    }

    /// Waits until all nodes have the newest configuration.
    pub(crate) async fn wait_for_config(&self, name: &str) {
        let head = self.head();
        wait_until(name, || {
            self.nodes
                .iter()
                .all(|node| node.known_revision.get() == head)
        })
        .await;
    }

    /// Waits until all nodes have evidence that their state is complete.
    pub(crate) async fn wait_for_evidence(&self, name: &str) {
        let stale = units::millis(settings().intervals().stale_after);
        wait_until(name, || {
            let fresh = |node: &Running| {
                let dump = (node.dump)();
                dump.evidence.is_some() && dump.age_ms < stale
            };
            self.nodes.iter().all(fresh)
        })
        .await;
    }

    /// Disconnects and stops a node; the others still list it as running.
    pub(crate) fn kill(&mut self, node: &units::Node) -> rc::Rc<Member> {
        let index = self
            .nodes
            .iter()
            .position(|running| running.member.node == *node);
        let running = self.nodes.remove(index.expect("node is running"));
        self.network.crash(running.member.peer_address);
        running.trigger.fire();
        running.member
    }

    /// Nodes that watch the store while there are no faults.
    pub(crate) fn watchers(&self) -> Vec<rc::Rc<Member>> {
        let mut first = self.first_ranked();
        first.truncate(settings().watchers);
        first
    }

    /// First-ranked node of each data centre.
    pub(crate) fn first_ranked(&self) -> Vec<rc::Rc<Member>> {
        let view = self.members.get();
        let ranks = Ranks::new(view.members().iter());
        let first = ranks.centres().flat_map(|centre| ranks.first(centre, 1));
        first.cloned().collect()
    }

    /// A node that does not watch the store while there are no faults.
    pub(crate) fn not_watching(&self) -> &Running {
        let watchers = self.watchers();
        let mut nodes = self.nodes.iter();
        let is_other = |node: &&Running| watchers.iter().all(|one| one.node != node.member.node);
        nodes.rfind(is_other).expect("more nodes than watchers")
    }

    pub(crate) fn running(&self, node: &units::Node) -> &Running {
        let mut nodes = self.nodes.iter();
        nodes
            .find(|running| running.member.node == *node)
            .expect("node is running")
    }

    /// Returns the calls of all nodes to the store, and resets the counters.
    pub(crate) fn take_calls(&self) -> u32 {
        let calls = self.nodes.iter().map(|node| node.store.calls.take());
        calls.sum()
    }

    fn member(&self, number: usize) -> rc::Rc<Member> {
        let address = |port: usize| {
            let text = format!("127.0.0.1:{}", port + number);
            text.parse().expect("valid address")
        };
        let centre = format!("dc{}", number % self.centres);
        rc::Rc::new(Member {
            node: format!("n{number}").parse().expect("valid ID"),
            data_centre: centre.parse().expect("valid ID"),
            peer_address: address(10_000),
            mesh_address: address(20_000),
            incarnation: 0,
            state: State::Alive,
            backend: None,
        })
    }
}

impl Running {
    /// Lists the configuration again, as a reader that knows of a newer one does.
    pub(crate) async fn list_again(&self) -> u64 {
        let listing = self.replica.list(CONFIG).await;
        listing.expect("store is available").revision.0
    }
}

/// Follows the configuration and stores its revision and its version.
async fn record_config(
    replica: Replica<NodeStore, fakes::Link>,
    known_revision: rc::Rc<cell::Cell<u64>>,
    known_version: rc::Rc<cell::Cell<Option<u64>>>,
) {
    let Ok(listing) = replica.list(CONFIG).await else {
        return;
    };
    if let Some(object) = listing.objects.first() {
        known_version.set(version_in(&object.value));
    }
    let mut from = listing.revision;
    loop {
        assert!(from.0 >= known_revision.get(), "revision decreased");
        known_revision.set(from.0);
        let Ok(events) = replica
            .watch(CONFIG, from, time::Duration::from_secs(60))
            .await
        else {
            return;
        };
        for event in &events.events {
            if let Event::Put(object) = event {
                known_version.set(version_in(&object.value));
            }
        }
        from = events.revision;
    }
}

/// Follows the orders and stores their keys in `known`.
async fn record_orders(
    replica: Replica<NodeStore, fakes::Link>,
    known: rc::Rc<cell::RefCell<Vec<String>>>,
) {
    let Ok(listing) = replica.list(ROLLOUTS).await else {
        return;
    };
    let keys = listing.objects.iter().map(|object| object.key.to_string());
    known.borrow_mut().extend(keys);
    let mut from = listing.revision;
    loop {
        let Ok(events) = replica
            .watch(ROLLOUTS, from, time::Duration::from_secs(60))
            .await
        else {
            return;
        };
        for event in events.events {
            let key = match &event {
                Event::Put(object) => &object.key,
                Event::Removed(key, _) => key,
            };
            let key = key.to_string();
            known.borrow_mut().retain(|one| *one != key);
            if let Event::Put(_) = event {
                known.borrow_mut().push(key);
            }
        }
        from = events.revision;
    }
}
