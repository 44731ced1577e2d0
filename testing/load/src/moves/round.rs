//! Rounds of moves, one on each service at a time, under traffic and faults.

use std::time;

use compact_str::CompactString;
use radishgap_backend::{Distribution, Event, ServiceTime};
use schema::operator::StartMoveRequest;

use super::case::BAD_ROUTE;
use super::observe::watch;
use super::{Badness, Case, Ended, Observed, Selection, Variant, cases};
use crate::caller::Outcome;
use crate::driver::{Done, Driver};
use crate::failure::Failure;
use crate::faults::{Action, Draw, strike};
use crate::fleet::{Mesh, Ports, Shape, Site};
use crate::operator::{self, Operator};
use crate::plan::Mix;

/// Services, each with a move at a time.
const SERVICES: usize = 8;
/// VMs of each service: one for the old version and one for the new.
const VMS: usize = 2;
/// Host of every call.
const HOST: &str = "strings.example";
/// Time after the deadline in which a move that did not end is still watched.
const GRACE: time::Duration = time::Duration::from_secs(10);
/// Time after a withholding in which the new version may still get work.
const WITHHOLD_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Time for versions to be announced everywhere before a round.
const SETTLE_LIMIT: time::Duration = time::Duration::from_secs(60);
/// Time of a request above which a slow version harms its caller.
const SLOW: time::Duration = time::Duration::from_millis(40);
/// Deadline of the routes.
const TIMEOUT: units::Period = units::Period::from_secs(2);

/// Runs every move of the selection, a round after the other.
pub(super) async fn run_all(
    variant: Variant,
    selection: &Selection,
    seed: u64,
) -> Result<Vec<Ended>, Failure> {
    let mut bench = Bench::start(variant, seed).await?;
    let cases = cases(seed, selection.moves);
    let mut ended = Vec::with_capacity(cases.len());
    for (number, cases) in cases.chunks(SERVICES).enumerate() {
        println!("  round {number}");
        ended.extend(bench.round(number, cases, selection, seed).await?);
    }
    Ok(ended)
}

struct Bench {
    mesh: Mesh,
    /// By service, which of its VMs has the version that takes the traffic.
    current: Vec<usize>,
    /// By service and VM, the version.
    versions: Vec<[CompactString; VMS]>,
}

/// A move that has started.
struct Started {
    id: String,
    deadline: units::Wall,
}

impl Bench {
    async fn start(variant: Variant, seed: u64) -> Result<Self, Failure> {
        let mut sites = Vec::new();
        for service in 0..SERVICES {
            for vm in 0..VMS {
                let node = format!("node-{service}-{vm}");
                let data_centre = if vm == 0 { "lautoka" } else { "nadi" };
                sites.push(Site::new(
                    &node,
                    data_centre,
                    &name(service),
                    &first(service, vm),
                )?);
            }
        }
        let mut shape = Shape::new("fiji-west", sites)?;
        shape.slots = 40;
        shape.service_time = ServiceTime {
            distribution: Distribution::Exponential,
            mean: units::Period::from_millis(10),
        };
        shape.drain = units::Period::from_secs(1);
        shape.seed = seed;
        variant.set(&mut shape);
        let bench = Self {
            mesh: Mesh::start(shape).await?,
            current: vec![0; SERVICES],
            versions: (0..SERVICES)
                .map(|service| [first(service, 0).into(), first(service, 1).into()])
                .collect(),
        };
        bench.configure().await?;
        Ok(bench)
    }

    /// Gives every service its current version.
    async fn configure(&self) -> Result<(), Failure> {
        let mut puts = Vec::new();
        for service in 0..SERVICES {
            let version = &self.versions[service][self.current[service]];
            puts.push(operator::service(&name(service), version));
            for route in ["a", BAD_ROUTE] {
                let path = format!("{}/{route}", prefix(service));
                puts.push(operator::route(HOST, &path, &name(service), TIMEOUT));
            }
        }
        self.operator().await?.apply(puts).await?;
        Ok(())
    }

    async fn operator(&self) -> Result<Operator, operator::Error> {
        Operator::open(self.mesh.addresses().vm(0, Ports::OPERATOR)).await
    }

    /// One move on each service.
    async fn round(
        &mut self,
        number: usize,
        cases: &[Case],
        selection: &Selection,
        seed: u64,
    ) -> Result<Vec<Ended>, Failure> {
        if number > 0 {
            self.replace(number, cases.len()).await?;
        }
        self.set_faults(cases).await;
        let length = selection.deadline.0 + GRACE;
        let mix = mix(number, units::Period(length), cases.len(), selection.rate);
        let callers = self.callers();
        let addresses = self.mesh.addresses();
        let nodes = self.mesh.nodes.len();
        let started = self.start_moves(number, cases.len(), selection).await;
        let until = time::Instant::now() + length;
        let watching =
            futures_util::future::join_all(started.iter().map(async |started| match started {
                Ok(started) => watch(addresses, nodes, &started.id, until).await,
                Err(_) => Observed::default(),
            }));
        let schedule = if selection.faults {
            draw(length, nodes).schedule(seed + number as u64)
        } else {
            Vec::new()
        };
        let calls = callers.run(mix.plan(seed + number as u64));
        let striking = strike(&mut self.mesh, &schedule, units::Period(length));
        let (calls, observed, struck) = futures_util::join!(calls, watching, striking);
        struck?;
        let events = self.mesh.events()?;
        let judged = started.into_iter().zip(observed).enumerate();
        let ended: Vec<_> = judged
            .map(|(service, (started, observed))| {
                let case = cases[service].clone();
                self.judge(service, case, started, observed, &calls, &events)
            })
            .collect();
        for (service, one) in ended.iter().enumerate() {
            if one.observed.end.as_ref().is_some_and(|end| end.done) {
                self.current[service] = 1 - self.current[service];
            }
        }
        Ok(ended)
    }

    /// Starts backend servers with versions of their own beside the current ones.
    async fn replace(&mut self, number: usize, count: usize) -> Result<(), Failure> {
        for service in 0..count {
            let vm = 1 - self.current[service];
            let version = format!("v{service}-{number}");
            let site = service * VMS + vm;
            self.versions[service][vm] = version.as_str().into();
            self.mesh.set_version(site, &version)?;
            if let Some(backend) = &mut self.mesh.backends[site] {
                backend.stop().await?;
            }
            self.mesh.start_backend(site)?;
        }
        self.mesh.await_ready().await?;
        self.configure().await
    }

    async fn set_faults(&mut self, cases: &[Case]) {
        for (service, case) in cases.iter().enumerate() {
            let site = service * VMS + 1 - self.current[service];
            let faults = case.faults(&prefix(service));
            self.mesh.set_faults(site, &faults).await;
        }
    }

    fn callers(&self) -> Driver {
        let vm = |index| self.mesh.addresses().vm(index, Ports::CALLERS);
        let targets = (0..self.mesh.nodes.len()).map(vm);
        Driver {
            connections: 1,
            ..Driver::new(targets.collect())
        }
    }

    /// Starts a move on each service; a refusal for a version that nobody has announced yet is
    /// tried again.
    async fn start_moves(
        &self,
        number: usize,
        count: usize,
        selection: &Selection,
    ) -> Vec<Result<Started, String>> {
        let mut started = Vec::with_capacity(count);
        for service in 0..count {
            let mut last = Err(String::new());
            let _ = Mesh::await_condition("the start of a move", SETTLE_LIMIT, async || {
                last = self.start_move(number, service, selection).await;
                last.is_ok()
            })
            .await;
            started.push(last);
        }
        started
    }

    async fn start_move(
        &self,
        number: usize,
        service: usize,
        selection: &Selection,
    ) -> Result<Started, String> {
        let deadline = units::Wall::now().after(selection.deadline.0);
        let current = self.current[service];
        let message = StartMoveRequest {
            service: name(service),
            from: self.versions[service][current].to_string(),
            to: self.versions[service][1 - current].to_string(),
            deadline_ms: deadline.0,
            operation: format!("round-{number}-{service}"),
        };
        let operator = self.operator().await.map_err(|error| error.to_string())?;
        let started = operator.start_move(message).await;
        let started = started.map_err(|error| error.to_string())?;
        Ok(Started {
            id: started.id,
            deadline: units::Wall(started.deadline_ms),
        })
    }

    /// What became of the move on `service`.
    fn judge(
        &self,
        service: usize,
        case: Case,
        started: Result<Started, String>,
        observed: Observed,
        calls: &[Done],
        events: &[Event],
    ) -> Ended {
        let new = &self.versions[service][1 - self.current[service]];
        let prefix = format!("{}/", prefix(service));
        let own = calls
            .iter()
            .filter(|done| done.planned.call.path.starts_with(&prefix));
        let exposed = own.clone().filter(|done| is_by(done, new));
        let harmed = own.clone().filter(|done| is_harmed(done, new, &case));
        let (calls, exposed, harmed) = (own.clone().count(), exposed.count(), harmed.count());
        let (refused, deadline) = match started {
            Ok(started) => (None, started.deadline),
            Err(problem) => (Some(problem), units::Wall::default()),
        };
        Ended {
            late_work: late_work(new, &observed, events),
            samples: observed.samples.clone(),
            service: name(service),
            case,
            refused,
            deadline,
            observed,
            calls: calls as u64,
            exposed: exposed as u64,
            harmed: harmed as u64,
        }
    }
}

/// Whether `version` answered the call.
fn is_by(done: &Done, version: &str) -> bool {
    done.seen.iter().any(|seen| seen.version == version)
}

/// Whether the call failed or was slow because of the bad `version`.
fn is_harmed(done: &Done, version: &str, case: &Case) -> bool {
    if case.is_good() {
        return false;
    }
    match done.outcome() {
        Outcome::Answered => {
            let took = done
                .seen
                .last()
                .map_or(time::Duration::ZERO, |seen| seen.took);
            is_by(done, version) && took > SLOW && case.is_slow()
        }
        Outcome::Failed => is_by(done, version),
        // Who ran it is not known; it is held against a version that crashes.
        Outcome::Unknown | Outcome::Broken | Outcome::TimedOut => {
            case.badness == Some(Badness::Crashes)
        }
        _ => false,
    }
}

/// Executions by `version` that began later than the limit after it was withheld.
fn late_work(version: &str, observed: &Observed, events: &[Event]) -> u64 {
    let Some(withheld) = observed.withheld else {
        return 0;
    };
    let limit = withheld.after(WITHHOLD_LIMIT);
    let late = events.iter().filter(|event| match event {
        Event::Start(run) => run.version == version && run.start > limit,
        Event::End(..) => false,
    });
    late.count() as u64
}

fn mix(number: usize, length: units::Period, services: usize, rate: units::Rate) -> Mix {
    let paths = (0..services).flat_map(|service| {
        let prefix = prefix(service);
        ["a", BAD_ROUTE].map(|route| format!("{prefix}/{route}").into())
    });
    // Eight services.
    #[allow(clippy::cast_precision_loss)]
    let rate = rate.0 * services as f64;
    Mix {
        paths: paths.collect(),
        ..Mix::reads(&format!("round-{number}"), rate, length, HOST, "/")
    }
}

/// Faults of nodes, among them runners, and of the platform.
fn draw(length: time::Duration, nodes: usize) -> Draw {
    Draw {
        length: units::Period(length),
        every: units::Period::from_secs(6),
        lasting: (units::Period::from_secs(2), units::Period::from_secs(6)),
        sites: (0..nodes).collect(),
        actions: vec![
            Action::FreezeNode,
            Action::KillNode,
            Action::PlatformOutage,
            Action::PlatformLosses,
        ],
    }
}

fn name(service: usize) -> String {
    format!("service-{service}")
}

fn prefix(service: usize) -> String {
    format!("/{}", name(service))
}

/// Version of a VM before the first round; versions are unique over services, so that the record
/// of a run names the move that it belongs to.
fn first(service: usize, vm: usize) -> String {
    format!("v{service}-first-{vm}")
}
