//! Counts the calls to the platform for many concurrent moves.
//!
//! `cargo run --release -p moves --example calls -- [MOVES] [SECONDS]` runs the given number of moves
//! with the given deadline on four nodes in one process, with the analysis `schedule`, and prints the
//! calls by kind. Writes to the configuration's log are not counted, since the entries of concurrent
//! steps are written together.

use std::cell;
use std::env;
use std::rc;
use std::time;

use config::{Applied, Change, Put, Service, Snapshot, Weight};
use distribution::{Accepted, Verdict};
use futures_channel::oneshot;
use kernel::Service as _;
use membership::{Backend, Member, Phase, State, View};
use moves::{Analysis, Command, Moves, Parts, Settings, Start};

const NODES: usize = 4;
const MAILBOX: usize = 8_192;

type Reader = moves::Reader<fakes::Store, fakes::Link>;

/// Configuration of all nodes, in place of the distribution service.
#[derive(Default)]
struct Configuration {
    snapshot: cell::RefCell<Snapshot>,
    holders: cell::RefCell<Vec<distribution::Holder>>,
    changes: cell::Cell<u64>,
}

/// Simulated nodes.
struct Mesh {
    store: fakes::Store,
    configuration: rc::Rc<Configuration>,
    readers: Vec<Reader>,
    mailboxes: Vec<kernel::Mailbox<Command>>,
    triggers: Vec<kernel::Trigger>,
    views: Vec<membership::Reader>,
    members: Vec<rc::Rc<Member>>,
}

fn main() {
    let number = |index: usize| env::args().nth(index).and_then(|text| text.parse().ok());
    let count = number(1).unwrap_or(1_000);
    let seconds = number(2).and_then(|seconds| u64::try_from(seconds).ok());
    let deadline = time::Duration::from_secs(seconds.unwrap_or(40));
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let mesh = start(count);
        let start_time = time::Instant::now();
        let answers = (0..count).map(|index| start_move(&mesh, index, deadline));
        let answers = futures_util::future::join_all(answers).await;
        for view in &mesh.views {
            view.set(View::new(mesh.members[..NODES].to_vec(), 2));
        }
        let refused = answers.iter().filter(|answer| answer.is_err()).count();
        let ended = || {
            mesh.readers.iter().map(|reader| {
                let counts = reader.counts();
                counts.done + counts.taken_back
            })
        };
        while ended().sum::<u64>() + (refused as u64) < count as u64
            && start_time.elapsed() < deadline * 2
        {
            compio::time::sleep(time::Duration::from_millis(200)).await;
        }
        print(&mesh, count, refused, start_time.elapsed());
        for trigger in mesh.triggers {
            trigger.fire();
        }
    });
}

fn print(mesh: &Mesh, count: usize, refused: usize, elapsed: time::Duration) {
    let sum = |field: fn(&moves::CounterSnapshot) -> u64| -> u64 {
        mesh.readers
            .iter()
            .map(|reader| field(&reader.counts()))
            .sum()
    };
    let counts = mesh.store.counts();
    let calls = counts.reads + counts.writes + counts.lists + counts.watches;
    println!("moves {count}, refused {refused}, in {elapsed:.1?}");
    println!(
        "done {}, taken back {}",
        sum(|one| one.done),
        sum(|one| one.taken_back)
    );
    println!("platform calls: {counts:?}");
    println!("calls a move: {:.2}", calls as f64 / count as f64);
    println!("attempts at leases: {}", sum(|one| one.leases));
    println!(
        "changes to the configuration: {}",
        mesh.configuration.changes.get()
    );
    println!(
        "violations: {}",
        sum(|one| one.second_ends + one.late_steps)
    );
}

fn start(count: usize) -> Mesh {
    let configuration = rc::Rc::new(Configuration::default());
    configuration.snapshot.replace(initial_snapshot(count));
    let mut mesh = Mesh {
        store: fakes::Store::default(),
        configuration,
        readers: Vec::new(),
        mailboxes: Vec::new(),
        triggers: Vec::new(),
        views: Vec::new(),
        members: Vec::new(),
    };
    let network = fakes::Network::new(1);
    // Each service's backend server is beside a node of its own. These nodes are members only until
    // the moves have started.
    let nodes = (0..NODES).map(|index| member(index, State::Alive, None));
    let backends = (0..count).map(|index| {
        let service = service_name(index);
        member(NODES + index, State::Suspect, Some(service))
    });
    let members: Vec<_> = nodes.chain(backends).map(rc::Rc::new).collect();
    for index in 0..NODES {
        start_node(&mut mesh, &network, &members, index);
    }
    mesh.members = members;
    mesh
}

fn start_node(mesh: &mut Mesh, network: &fakes::Network, members: &[rc::Rc<Member>], index: usize) {
    let member = &members[index];
    let holder = distribution::Holder::default();
    holder.advance(mesh.configuration.snapshot.borrow().clone());
    mesh.configuration.holders.borrow_mut().push(holder.clone());
    let (distribution, accept_commands) = kernel::mailbox(MAILBOX);
    serve(mesh.configuration.clone(), accept_commands);
    let link = network.link(member.node.clone(), member.peer_address);
    let (peers, incoming) = kernel::mailbox(MAILBOX);
    let mut router = peer::Router::default();
    router
        .register(moves::NAME, peers)
        .expect("the name is unused");
    link.serve(router);
    let (mailbox, commands) = kernel::mailbox(MAILBOX);
    let view = membership::Reader::default();
    view.set(View::new(members.to_vec(), 1));
    mesh.views.push(view.clone());
    let parts = Parts {
        node: member.node.clone(),
        data_centre: member.data_centre.clone(),
        settings: Settings {
            analysis: Analysis::Schedule,
            ..Settings::default()
        },
        store: mesh.store.clone(),
        link,
        holder,
        distribution,
        members: view,
        withheld: routing::Withheld::default(),
        focus: routing::Focus::default(),
    };
    let service = Moves::new(parts, commands, incoming);
    mesh.readers.push(service.reader());
    mesh.mailboxes.push(mailbox);
    let (trigger, stop) = kernel::stop();
    mesh.triggers.push(trigger);
    compio::runtime::spawn(service.run(stop)).detach();
}

fn serve(configuration: rc::Rc<Configuration>, mut inbox: kernel::Inbox<distribution::Command>) {
    compio::runtime::spawn(async move {
        while let Some(command) = inbox.receive().await {
            if let distribution::Command::Accept { change, answer, .. } = command {
                let _ = answer.send(configuration.accept(&change));
            }
        }
    })
    .detach();
}

impl Configuration {
    fn accept(&self, change: &Change) -> Verdict {
        let applied = self.snapshot.borrow().apply(change);
        match applied {
            Ok(Applied::Repeated(version)) => Verdict::Accepted(Accepted { version }),
            Ok(Applied::Accepted(snapshot)) => {
                self.changes.set(self.changes.get() + 1);
                let version = snapshot.version();
                for holder in self.holders.borrow().iter() {
                    holder.advance(snapshot.clone());
                }
                *self.snapshot.borrow_mut() = snapshot;
                Verdict::Accepted(Accepted { version })
            }
            Err(config::Refusal::Invalid(findings)) => Verdict::Refused(findings),
            Err(config::Refusal::Conflict(findings)) => Verdict::Conflict(findings),
        }
    }
}

async fn start_move(
    mesh: &Mesh,
    index: usize,
    deadline: time::Duration,
) -> Result<(), moves::Refusal> {
    let (answer, answered) = oneshot::channel();
    let start = Start {
        operation: units::Operation::random(),
        service: service_name(index),
        from: "v1".into(),
        to: "v2".into(),
        deadline: units::Wall::now().after(deadline),
    };
    let sent = mesh.mailboxes[index % NODES].send(Command::Start { start, answer });
    sent.expect("the service is running");
    answered.await.expect("the command is answered").map(drop)
}

fn service_name(index: usize) -> compact_str::CompactString {
    compact_str::format_compact!("service{index}")
}

fn initial_snapshot(count: usize) -> Snapshot {
    let service = |index| Service {
        name: service_name(index),
        weights: vec![Weight {
            version: "v1".into(),
            share: units::Share::WHOLE,
        }],
        revision: units::Version::default(),
        ..Service::default()
    };
    let puts: Vec<_> = (0..count)
        .map(|index| Put::Service(service(index), None))
        .collect();
    let changes = puts.chunks(config::Limits::RESOURCES).map(|puts| Change {
        operation: units::Operation::random(),
        puts: puts.to_vec(),
        removes: Vec::new(),
        author: "an operator".into(),
    });
    let changes: Vec<_> = changes.collect();
    Snapshot::default()
        .apply_all(&changes)
        .expect("valid configuration")
}

fn member(index: usize, state: State, service: Option<compact_str::CompactString>) -> Member {
    let address = |port: usize| format!("127.0.0.1:{port}").parse().expect("valid address");
    Member {
        node: format!("n{index}").parse().expect("valid identifier"),
        data_centre: if index < NODES { "ba" } else { "elsewhere" }
            .parse()
            .expect("valid identifier"),
        peer_address: address(1_000 + index),
        mesh_address: address(1_000 + index),
        incarnation: 1,
        state,
        backend: service.map(|service| Backend {
            service,
            version: "v2".into(),
            slots: 20,
            connections: 120,
            phase: Phase::Ready,
            instance: 1,
        }),
    }
}
