//! Owner of a backend server: the only component that sends requests to it.

mod backend;
mod cancel;
mod crash;
mod execution;
mod fingerprint;
mod handler;
mod request;
mod retry_budget;
mod run;
mod signals;
mod transit;
mod warmup;

use std::cell;
use std::rc;
use std::time;

use admission::{Announced, Gate, KeyRecords, Repeats, SharedSuspects};
use futures_channel::mpsc;
use serde::Serialize;
use upstream::Payload;

use super::counts::Owner as Counts;
use super::event::{Event, Inputs};
use super::pools::Pools;
use super::{Context, Dialect, Envelope, Native, Problem, Source, Transits};

use self::backend::Backend;
pub(crate) use self::cancel::CancelGuard;
pub(super) use self::execution::Execution;
pub use self::fingerprint::Fingerprint;
pub(crate) use self::handler::respond;
pub(crate) use self::request::build_request;
pub(crate) use self::run::broken_body;

/// Owner of the backend server beside this node; clones share it.
pub struct Owner<L, D = Native> {
    shared: rc::Rc<Shared<L, D>>,
}

struct Shared<L, D> {
    context: Context<D>,
    gate: Gate,
    records: KeyRecords,
    shared_suspects: SharedSuspects<L>,
    repeats: Repeats,
    /// Version of the configuration from which the gate has its rate of a warm-up.
    warmup_version: cell::Cell<units::Version>,
    /// Number of owners of the service, cached until the membership or the backend server changes.
    owners: cell::Cell<Option<retry_budget::OwnerCount>>,
    backend: cell::RefCell<Option<Backend>>,
    /// Latest crash of the backend server, while it is unconfirmed.
    suspected_crash: cell::RefCell<Option<crash::SuspectedCrash>>,
    /// Instance of the backend server that has announced in a response that it is leaving.
    leaving: cell::Cell<Option<u64>>,
    /// Channel for notifications that the backend server is leaving.
    departures: cell::RefCell<Option<mpsc::UnboundedSender<()>>>,
    counts: cell::Cell<Counts>,
    /// Time that requests of other nodes spend on their way.
    transits: cell::RefCell<Transits>,
    /// Connections to other nodes.
    pools: Pools,
    /// Id of this start of the process, under which other owners record its notes.
    start_id: u64,
}

/// State of an owner.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// State of admission.
    pub gate: admission::Dump,
    /// Connections to the backend server.
    pub connections: upstream::Counts,
    /// Number of idempotency keys on record.
    pub keys: usize,
    /// Size of the recorded responses, in bytes.
    pub key_bytes: usize,
    /// Number of requests suspected of crashing backend servers.
    pub suspects: usize,
    /// Number of requests refused because they crashed backend servers.
    pub quarantined: u64,
    /// Counters of the request path.
    pub counts: Counts,
}

/// A request at the owner.
pub struct Job {
    /// Metadata from the ingress.
    pub envelope: Envelope,
    /// Method, path and headers as sent by the caller.
    pub head: http::request::Parts,
    /// Body of the request.
    pub payload: Payload,
}

impl Job {
    /// Kind of request by which runtimes are learned: its route, and whether it has a body, as the runtime of
    /// one with a body contains the time that its caller takes to send it.
    #[must_use]
    pub fn kind(&self) -> u64 {
        const WITH_BODY: u64 = 1 << 63;
        let route = self.envelope.route;
        if self.payload.is_empty() {
            route
        } else {
            route ^ WITH_BODY
        }
    }
}

/// A response at the owner.
pub struct Served<L, D> {
    /// Status and headers.
    pub parts: http::response::Parts,
    /// Body of the response.
    pub source: Source,
    /// Observer of the end of the body; `None` for a body in memory.
    pub observer: Option<Execution<L, D>>,
}

impl<L, D> Clone for Owner<L, D> {
    fn clone(&self) -> Self {
        let shared = self.shared.clone();
        Self { shared }
    }
}

impl<L: peer::Link, D: Dialect> Owner<L, D> {
    /// Creates an owner without a backend server; crash suspects are shared over `link`.
    #[must_use]
    pub fn new(context: Context<D>, link: L) -> Self {
        let settings = rc::Rc::new(context.settings.admission.clone());
        let shared = Shared {
            repeats: Repeats::new(settings.repeats.clone(), time::Instant::now()),
            gate: Gate::new(settings.clone()),
            records: KeyRecords::new(settings.clone(), time::Instant::now()),
            shared_suspects: SharedSuspects::new(link, settings),
            warmup_version: cell::Cell::default(),
            owners: cell::Cell::default(),
            backend: cell::RefCell::default(),
            suspected_crash: cell::RefCell::default(),
            leaving: cell::Cell::default(),
            departures: cell::RefCell::default(),
            counts: cell::Cell::default(),
            transits: cell::RefCell::default(),
            pools: Pools::new(&context.settings.upstream),
            start_id: rand::random(),
            context,
        };
        Self {
            shared: rc::Rc::new(shared),
        }
    }

    /// Applies an announcement of the backend server; `None` when its lease has expired.
    pub fn announce(&self, announced: Option<&Announced>) {
        let announced = announced.map(|announced| self.apply_leaving(announced.clone()));
        let announced = announced.as_ref();
        self.connect_to(announced);
        self.configure_warmup(announced);
        if let Some(announced) = announced {
            self.withdraw_false_crash(announced, time::Instant::now());
        }
        self.shared.gate.announce(announced);
        self.shared.owners.set(None);
    }

    /// Refuses new requests from now on; requests in flight complete.
    pub fn stop(&self) {
        self.shared.gate.stop();
    }

    /// Returns the admission gate.
    #[must_use]
    pub fn gate(&self) -> &Gate {
        &self.shared.gate
    }

    /// Returns the shared crash suspects, which handle other owners' notices for the service
    /// [`admission::SERVICE`].
    #[must_use]
    pub fn shared_suspects(&self) -> &SharedSuspects<L> {
        &self.shared.shared_suspects
    }

    /// Returns the counts of repeated requests at the backend server.
    #[must_use]
    pub fn repeats(&self) -> &Repeats {
        &self.shared.repeats
    }

    /// Returns the counters of this owner.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.counts.get()
    }

    /// Returns the counters of admission.
    #[must_use]
    pub fn admission_counts(&self) -> admission::Counts {
        self.shared.gate.counts()
    }

    /// Returns the state for a dump.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let backend = self.shared.backend.borrow();
        let connections = backend.as_ref().map(|backend| backend.server.counts());
        Dump {
            gate: self.shared.gate.dump(),
            connections: connections.unwrap_or_default(),
            keys: self.shared.records.len(),
            key_bytes: self.shared.records.bytes(),
            suspects: self.shared.shared_suspects.len(),
            quarantined: self.shared.shared_suspects.quarantined(),
            counts: self.counts(),
        }
    }

    /// Returns the connections to other nodes.
    pub(crate) fn pools(&self) -> &Pools {
        &self.shared.pools
    }

    /// Returns the id of this start of the process.
    pub(crate) fn start_id(&self) -> u64 {
        self.shared.start_id
    }

    pub(crate) fn key_answer_limit(&self) -> usize {
        self.shared.context.settings.admission.key_answer.as_len()
    }

    pub(crate) fn records(&self) -> &KeyRecords {
        &self.shared.records
    }

    pub(crate) fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.shared.counts.get();
        change(&mut counts);
        self.shared.counts.set(counts);
    }

    /// Serves one request.
    ///
    /// # Errors
    /// The outcome of the returned problem states whether the request ran.
    pub async fn serve(&self, job: Job) -> Result<Served<L, D>, Problem> {
        self.count(|counts| counts.requests += 1);
        let job = rc::Rc::new(job);
        let served = if job.envelope.key.is_some() && !self.shared.context.settings.baseline {
            self.serve_keyed(&job).await
        } else {
            let guard = CancelGuard::new(self, job.payload.clone());
            let served = self.run(&job).await;
            guard.disarm();
            served
        };
        if let Err(problem) = &served {
            let not_run = problem.outcome == upstream::Outcome::NotRun;
            Event::Refused(problem).log(&self.inputs(&job.envelope));
            self.count(|counts| {
                counts.refused += u64::from(not_run);
                counts.unknown += u64::from(!not_run);
            });
        }
        served
    }

    /// Returns the log context of a request.
    fn inputs<'e>(&self, envelope: &'e Envelope) -> Inputs<'e> {
        let now = time::Instant::now();
        Inputs {
            request: &envelope.request,
            service: &envelope.service,
            configuration: self.shared.context.holder.get().version(),
            attempts: envelope.attempt,
            priority: envelope.priority,
            left: envelope.deadline.saturating_duration_since(now),
        }
    }

    /// Returns the addresses of the other owners of the same service.
    fn other_owners(&self) -> Vec<units::Address> {
        let Some(announced) = self.shared.gate.announced() else {
            return Vec::new();
        };
        let view = self.shared.context.members.get();
        let node = &self.shared.context.node;
        let others = view.running().filter(|member| {
            let backend = member.backend.as_ref();
            member.node != *node
                && backend.is_some_and(|one| one.service == announced.backend.service)
        });
        others.map(|member| member.peer_address).collect()
    }

    /// Logs usage, resends crash notices, and closes connections that the backend server may close
    /// soon.
    pub(crate) fn maintain(&self, now: time::Instant) {
        self.log_arrivals(now);
        self.log_rate_usage();
        self.shared
            .transits
            .borrow_mut()
            .prune(units::Uptime::now());
        let node = &self.shared.context.node;
        self.shared
            .shared_suspects
            .remind(node, now, || self.other_owners());
        if let Some(backend) = &*self.shared.backend.borrow() {
            backend.server.maintain(now);
        }
    }
}
