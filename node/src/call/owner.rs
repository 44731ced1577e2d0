//! The owner of a backend server: the only one that sends requests to it.

mod answering;
mod beside;
mod building;
mod cancel;
mod crashing;
mod fingerprint;
mod hearing;
mod repeating;
mod running;
mod serving;

use std::cell;
use std::rc;
use std::time;

use admission::{Announced, Gate, Records, Repeats, Sharing};
use futures_channel::mpsc;
use serde::Serialize;
use upstream::Payload;

use super::counts::Owner as Counts;
use super::event::{Event, Inputs};
use super::pools::Pools;
use super::{Context, Dialect, Envelope, Native, Problem, Source};

pub(crate) use self::answering::respond;
use self::beside::Beside;
pub(crate) use self::building::build;
pub(crate) use self::cancel::Cancel;
pub use self::fingerprint::Fingerprint;
pub(crate) use self::running::broken_body;
pub(super) use self::serving::Serving;

/// The owner of the backend server beside this node; clones share it.
pub struct Owner<L, D = Native> {
    shared: rc::Rc<Shared<L, D>>,
}

struct Shared<L, D> {
    context: Context<D>,
    gate: Gate,
    records: Records,
    sharing: Sharing<L>,
    repeats: Repeats,
    /// Owners of the service, until the members or the backend server change.
    owners: cell::Cell<Option<repeating::Counted>>,
    backend: cell::RefCell<Option<Beside>>,
    /// The latest crash of the backend server, while it is not certain.
    accused: cell::RefCell<Option<crashing::Accused>>,
    /// The start of the backend server that has said that it leaves.
    leaving: cell::Cell<Option<u64>>,
    /// Takes word of a backend server that leaves.
    departures: cell::RefCell<Option<mpsc::UnboundedSender<()>>>,
    counts: cell::Cell<Counts>,
    /// Connections to other nodes.
    pools: Pools,
    /// Id of this start of the process, under which other owners note its keys.
    life: u64,
}

/// State of an owner.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Dump {
    /// What it lets through.
    pub gate: admission::Dump,
    /// Connections to the backend server.
    pub connections: upstream::Counts,
    /// Idempotency keys on record.
    pub keys: usize,
    /// Bytes of the answers kept for them.
    pub key_bytes: usize,
    /// Requests suspected of crashing backend servers.
    pub suspects: usize,
    /// Requests refused because they crashed backend servers.
    pub quarantined: u64,
    /// Figures.
    pub counts: Counts,
}

/// A request at the owner.
pub struct Job {
    /// What the ingress says about it.
    pub envelope: Envelope,
    /// Method, path and headers as the caller sent them.
    pub head: http::request::Parts,
    /// Its body.
    pub payload: Payload,
}

/// An answer at the owner.
pub struct Served<L, D> {
    /// Status and headers.
    pub parts: http::response::Parts,
    /// Its body.
    pub source: Source,
    /// To be told how the body ended; `None` when it is in memory.
    pub watch: Option<Serving<L, D>>,
}

impl<L, D> Clone for Owner<L, D> {
    fn clone(&self) -> Self {
        let shared = self.shared.clone();
        Self { shared }
    }
}

impl<L: peer::Link, D: Dialect> Owner<L, D> {
    /// An owner without a backend server; suspects are shared over `link`.
    #[must_use]
    pub fn new(context: Context<D>, link: L) -> Self {
        let settings = rc::Rc::new(context.settings.admission.clone());
        let shared = Shared {
            repeats: Repeats::new(settings.repeats.clone(), time::Instant::now()),
            gate: Gate::new(settings.clone()),
            records: Records::new(settings.clone(), time::Instant::now()),
            sharing: Sharing::new(link, settings),
            owners: cell::Cell::default(),
            backend: cell::RefCell::default(),
            accused: cell::RefCell::default(),
            leaving: cell::Cell::default(),
            departures: cell::RefCell::default(),
            counts: cell::Cell::default(),
            pools: Pools::new(&context.settings.upstream),
            life: rand::random(),
            context,
        };
        Self {
            shared: rc::Rc::new(shared),
        }
    }

    /// Takes what the backend server announces; `None` when its lease has run out.
    pub fn announce(&self, announced: Option<&Announced>) {
        let announced = announced.map(|announced| self.revise(announced.clone()));
        let announced = announced.as_ref();
        self.connect_to(announced);
        if let Some(announced) = announced {
            self.settle_crash(announced, time::Instant::now());
        }
        self.shared.gate.announce(announced);
        self.shared.owners.set(None);
    }

    /// Refuses new requests from now on; those in flight end.
    pub fn stop(&self) {
        self.shared.gate.stop();
    }

    /// What it lets through.
    #[must_use]
    pub fn gate(&self) -> &Gate {
        &self.shared.gate
    }

    /// Suspects; notices of other owners for the service [`admission::SERVICE`] go there.
    #[must_use]
    pub fn sharing(&self) -> &Sharing<L> {
        &self.shared.sharing
    }

    /// Repeats among what the backend server gets and runs.
    #[must_use]
    pub fn repeats(&self) -> &Repeats {
        &self.shared.repeats
    }

    /// Figures.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.counts.get()
    }

    /// State.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let backend = self.shared.backend.borrow();
        let connections = backend.as_ref().map(|beside| beside.server.counts());
        Dump {
            gate: self.shared.gate.dump(),
            connections: connections.unwrap_or_default(),
            keys: self.shared.records.len(),
            key_bytes: self.shared.records.bytes(),
            suspects: self.shared.sharing.len(),
            quarantined: self.shared.sharing.quarantined(),
            counts: self.counts(),
        }
    }

    /// Connections to other nodes.
    pub(crate) fn pools(&self) -> &Pools {
        &self.shared.pools
    }

    /// Id of this start of the process.
    pub(crate) fn life(&self) -> u64 {
        self.shared.life
    }

    pub(crate) fn key_answer_limit(&self) -> usize {
        self.shared.context.settings.admission.key_answer.as_len()
    }

    pub(crate) fn records(&self) -> &Records {
        &self.shared.records
    }

    pub(crate) fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.shared.counts.get();
        change(&mut counts);
        self.shared.counts.set(counts);
    }

    /// Answers one request.
    ///
    /// # Errors
    /// The problem says what became of the request.
    pub async fn serve(&self, job: Job) -> Result<Served<L, D>, Problem> {
        self.count(|counts| counts.requests += 1);
        let job = rc::Rc::new(job);
        let served = if job.envelope.key.is_some() && !self.shared.context.settings.baseline {
            self.serve_keyed(&job).await
        } else {
            let guard = Cancel::new(self, job.payload.clone());
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

    /// What is known of a request, for a log line.
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

    /// Addresses of the other owners of the same service.
    fn others(&self) -> Vec<units::Address> {
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

    /// Closes connections that the backend server may close soon.
    pub(crate) fn maintain(&self, now: time::Instant) {
        self.tell_arrivals(now);
        self.tell_usage();
        let node = &self.shared.context.node;
        self.shared.sharing.remind(node, now, || self.others());
        if let Some(beside) = &*self.shared.backend.borrow() {
            beside.server.maintain(now);
        }
    }
}
