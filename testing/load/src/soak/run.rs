//! Runs a mesh with everything at once.

use std::time;

use compact_str::CompactString;
use radishgap_backend::{Event, Faults};
use schema::operator::StartMoveRequest;
use serde::Serialize;

use super::gather::Gathered;
use super::operators::race;
use super::points::Evidence;
use super::{Point, Race, Region, Selection, schedule};
use crate::caller::{Call, Connection, Outcome, Protocol};
use crate::driver::{Done, Driver};
use crate::failure::Failure;
use crate::faults::{Fault, Struck, strike};
use crate::fleet::{Addresses, Error, Mesh, Ports, Process};
use crate::judge::Verdict;
use crate::moves::{Badness, Case, Observed, watch};
use crate::operator::{self, Operator};
use crate::plan::Mix;
use crate::relay::Relay;

/// Calls a second.
const RATE: f64 = 400.0;
/// Attempts of a caller.
const ATTEMPTS: u32 = 4;
/// Requests a minute that crash the backend server that runs them.
const CRASHES_A_MINUTE: f64 = 2.0;
/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 48 * 1024;
/// Deadline of the routes.
const TIMEOUT: units::Period = units::Period::from_secs(2);
/// Quiet time after the last fault, in which everything has to come back.
const CALM: time::Duration = time::Duration::from_secs(6);
/// Time from the start of a move to its deadline, at most.
const MOVE_DEADLINE: time::Duration = time::Duration::from_secs(60);
/// Time after a withholding in which a bad version may still get work.
const WITHHOLD_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Time for each site of a service to answer before the run.
const SETTLE_LIMIT: time::Duration = time::Duration::from_secs(60);

/// What a soak brought to light.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// A line for each promise.
    pub points: Vec<Point>,
    /// Calls by what became of them.
    pub outcomes: Vec<(Outcome, u64)>,
    /// The judge's verdict.
    pub verdict: Verdict,
    /// The schedule of faults.
    pub schedule: Vec<Fault>,
    /// What the schedule did.
    pub struck: Struck,
    /// The races of operators.
    pub race: Race,
    /// What the nodes know.
    pub gathered: Gathered,
    /// The move to a good version and the one to a bad version.
    pub moves: [Option<Observed>; 2],
}

/// What runs.
struct Bench {
    mesh: Mesh,
    region: Region,
    /// Between the callers and the nodes, for their latency.
    relays: Vec<Relay>,
}

/// The backend server that names a limit in its answers, of a service without a move; less than its share
/// of the calls, and more than its slots can hold up while it is frozen.
const LIMITED_SITE: usize = 0;
const LIMIT: units::Rate = units::Rate(20.0);

/// The services on which a good and a bad version are moved to, as places among the region's.
const MOVED: [usize; 2] = [2, 1];
/// The bad version: it fails and says that it is healthy.
const BAD: Case = Case {
    badness: Some(Badness::FailsAtOnce),
    lies: true,
};

/// Runs the soak.
pub(super) async fn run(selection: &Selection, seed: u64) -> Result<Summary, Failure> {
    let mut bench = Bench::start(selection.region, seed).await?;
    let length = selection.length();
    let schedule = schedule(seed, length, &bench.struck_sites());
    let began = units::Wall::now();
    let (addresses, nodes) = (bench.mesh.addresses(), bench.mesh.nodes.len());
    let callers = bench.callers();
    let calls = callers.run(bench.mix(length).plan(seed));
    let moving = bench.moves(length.0);
    let racing = race(addresses, nodes, selection.region, length.0, seed);
    let striking = strike(&mut bench.mesh, &schedule, units::Period(length.0 + CALM));
    let (calls, moves, race, struck) = futures_util::join!(calls, moving, racing, striking);
    let struck = struck?;
    bench.mesh.await_ready().await?;
    let gathered = bench.gather().await;
    let events = bench.mesh.events()?;
    let verdict = Verdict::new(&calls, &events);
    let bad_stops = bench.stop().await;
    let bad = bench.service(MOVED[1]);
    let evidence = Evidence {
        calls: &calls,
        verdict: &verdict,
        struck: &struck,
        race: &race,
        gathered: &gathered,
        moves: &moves,
        harm: harm(&calls, bad, began, moves[1].as_ref()),
        late_exposure: late_exposure(&events, bad, moves[1].as_ref()),
        bad_stops: &bad_stops,
    };
    Ok(Summary {
        points: evidence.points(),
        outcomes: count(&calls),
        verdict,
        schedule,
        struck,
        race,
        gathered,
        moves,
    })
}

impl Bench {
    async fn start(region: Region, seed: u64) -> Result<Self, Failure> {
        let mesh = Mesh::start(region.shape(seed)?).await?;
        let relays = Vec::new();
        let mut bench = Self {
            mesh,
            region,
            relays,
        };
        let site = bench.new_site(MOVED[1]);
        let faults: Faults = BAD.faults("");
        bench.mesh.set_faults(site, &faults).await;
        let limited = Faults {
            rate_limit: Some(LIMIT),
            ..Faults::default()
        };
        bench.mesh.set_faults(LIMITED_SITE, &limited).await;
        bench.start_relays().await?;
        bench.configure().await?;
        bench.settle().await?;
        Ok(bench)
    }

    async fn start_relays(&mut self) -> Result<(), Failure> {
        for index in 0..self.mesh.nodes.len() {
            let vm = |port| self.mesh.addresses().vm(index, port);
            let (listen, target) = (vm(Ports::CALLERS_RELAY), vm(Ports::CALLERS));
            let relay = Relay::open(listen, target, self.region.client_latency().0).await;
            self.relays
                .push(relay.map_err(Error::system("cannot start a relay"))?);
        }
        Ok(())
    }

    async fn configure(&self) -> Result<(), Failure> {
        let mut puts = Vec::new();
        for (service, _) in self.region.services() {
            puts.push(operator::service(service, Region::OLD));
            let path = format!("/{service}");
            puts.push(operator::route(Region::HOST, &path, service, TIMEOUT));
        }
        let address = self.mesh.addresses().vm(0, Ports::OPERATOR);
        Operator::open(address).await?.apply(puts).await?;
        Ok(())
    }

    /// Waits until each service answers through each node.
    async fn settle(&self) -> Result<(), Failure> {
        let waits = self.relays.iter().map(|relay| self.settle_node(relay));
        futures_util::future::try_join_all(waits).await?;
        Ok(())
    }

    async fn settle_node(&self, relay: &Relay) -> Result<(), Error> {
        let address = relay.address();
        for (service, _) in self.region.services() {
            let what = format!("an answer of {service} through {address}");
            Mesh::await_condition(&what, SETTLE_LIMIT, async || {
                let Ok(connection) = Connection::open(address, Protocol::Http2).await else {
                    return false;
                };
                let call = Call::get("settle", Region::HOST, &path(service));
                call.run(&connection).await.outcome == Outcome::Answered
            })
            .await?;
        }
        Ok(())
    }

    fn service(&self, place: usize) -> &'static str {
        self.region.services()[place].0
    }

    /// Site with the new version of the service at `place` among the region's.
    fn new_site(&self, place: usize) -> usize {
        let services = self.region.services();
        let counts = services[..=place].iter().map(|(_, count)| count);
        counts.sum::<usize>() - 1
    }

    /// Sites that faults may strike: not those whose death would rightly end a move.
    fn struck_sites(&self) -> Vec<usize> {
        let spared = MOVED.map(|place| self.new_site(place));
        let all = 0..self.mesh.nodes.len();
        all.filter(|site| !spared.contains(site)).collect()
    }

    fn callers(&self) -> Driver {
        let targets = self.relays.iter().map(Relay::address);
        Driver {
            attempts: ATTEMPTS,
            connections: 1,
            ..Driver::new(targets.collect())
        }
    }

    fn mix(&self, length: units::Period) -> Mix {
        let services = self.region.services();
        let paths = services.iter().map(|(name, _)| path(name));
        let half = units::Share::from_parts(5_000).unwrap_or_default();
        let minutes = length.0.as_secs_f64() / 60.0;
        // At most some thousand.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let crashes = (CRASHES_A_MINUTE * minutes).ceil() as usize;
        Mix {
            paths: paths.collect(),
            posts: half,
            keyed: half,
            answer_bytes: ANSWER_BYTES,
            crashes,
            patience: units::Period(TIMEOUT.0 * 2),
            ..Mix::reads(
                "soak",
                RATE,
                units::Period(length.0 + CALM),
                Region::HOST,
                "/",
            )
        }
    }

    /// Moves one service to a good version and one to a bad one.
    fn moves(&self, length: time::Duration) -> impl Future<Output = [Option<Observed>; 2]> + use<> {
        let (addresses, nodes) = (self.mesh.addresses(), self.mesh.nodes.len());
        let until = time::Instant::now() + length + CALM;
        let deadline = units::Wall::now().after(length.min(MOVE_DEADLINE));
        let [good, bad] = MOVED.map(|place| {
            let service = self.service(place);
            move_one(addresses, nodes, service, deadline, until)
        });
        async { futures_util::join!(good, bad).into() }
    }

    /// Gathers what the nodes know, once all hold the newest version or the limit has passed.
    async fn gather(&self) -> Gathered {
        let mut gathered = Gathered::default();
        // A node that stays behind is found by the evidence.
        let _ = Mesh::await_condition("equal versions", IN_FORCE_LIMIT, async || {
            gathered = Gathered::collect(&self.mesh).await;
            gathered.behind == 0 && gathered.unread == 0
        })
        .await;
        gathered
    }

    /// Stops every process gracefully; gives those that were not.
    async fn stop(&mut self) -> Vec<String> {
        let mut problems = Vec::new();
        let mesh = &mut self.mesh;
        let platform = std::slice::from_mut(&mut mesh.platform);
        stop_all(mesh.backends.iter_mut().flatten(), &mut problems).await;
        stop_all(mesh.nodes.iter_mut().flatten(), &mut problems).await;
        stop_all(platform.iter_mut(), &mut problems).await;
        problems
    }
}

/// Time for all nodes to hold the newest version, as the users' plan has it.
const IN_FORCE_LIMIT: time::Duration = time::Duration::from_secs(15);

/// Stops all `processes` at once.
async fn stop_all(processes: impl Iterator<Item = &mut Process>, problems: &mut Vec<String>) {
    let mut processes: Vec<_> = processes.collect();
    for process in &processes {
        process.send(crate::fleet::Signal::Terminate);
    }
    for process in &mut processes {
        match process.ended().await {
            Ok(status) if status.success() => {}
            Ok(status) => problems.push(format!("{} stopped with {status}", process.name())),
            Err(error) => problems.push(error.to_string()),
        }
    }
}

/// Starts a move and watches it; none when no node would start it.
async fn move_one(
    addresses: Addresses,
    nodes: usize,
    service: &str,
    deadline: units::Wall,
    until: time::Instant,
) -> Option<Observed> {
    let message = StartMoveRequest {
        service: service.to_owned(),
        from: Region::OLD.to_owned(),
        to: Region::NEW.to_owned(),
        deadline_ms: deadline.0,
        operation: format!("soak-{service}"),
    };
    for node in 0..nodes {
        let address = addresses.vm(node, Ports::OPERATOR);
        let started = async {
            Operator::open(address)
                .await?
                .start_move(message.clone())
                .await
        };
        match started.await {
            Ok(started) => return Some(watch(addresses, nodes, &started.id, until).await),
            Err(error) => log::warn!(error:% = error; "a move was not started"),
        }
    }
    None
}

fn path(service: &str) -> CompactString {
    format!("/{service}").into()
}

/// Share of the calls to `service` during the bad move that failed by the bad version.
fn harm(calls: &[Done], service: &str, began: units::Wall, bad: Option<&Observed>) -> f64 {
    let Some(end) = bad.and_then(|bad| bad.end.as_ref()) else {
        return 0.0;
    };
    let path = format!("/{service}/");
    let during = calls.iter().filter(|done| {
        let call = &done.planned;
        call.call.path.starts_with(&path) && began.after(call.at) <= end.at
    });
    let failed = during.clone().filter(|done| {
        let last = done.seen.last();
        last.is_some_and(|seen| seen.outcome == Outcome::Failed && seen.version == Region::NEW)
    });
    // Soaks have far fewer calls than 2^52.
    #[allow(clippy::cast_precision_loss)]
    let share = failed.count() as f64 / during.count().max(1) as f64;
    share
}

/// Executions of the bad version of `service` later than the limit after it was withheld.
fn late_exposure(events: &[Event], service: &str, bad: Option<&Observed>) -> u64 {
    let Some(withheld) = bad.and_then(|bad| bad.withheld) else {
        return 0;
    };
    let limit = withheld.after(WITHHOLD_LIMIT);
    let path = format!("/{service}/");
    let late = events.iter().filter(|event| match event {
        Event::Start(run) => {
            run.version == Region::NEW && run.path.starts_with(&path) && run.start > limit
        }
        Event::End(..) => false,
    });
    late.count() as u64
}

fn count(calls: &[Done]) -> Vec<(Outcome, u64)> {
    let mut outcomes: Vec<_> = calls.iter().map(Done::outcome).collect();
    outcomes.sort_unstable();
    let groups = outcomes.chunk_by(|one, other| one == other);
    groups.map(|group| (group[0], group.len() as u64)).collect()
}
