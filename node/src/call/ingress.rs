//! The node that takes a request from its caller.

mod attempting;
mod handling;
mod journey;
mod keyed;
mod needing;
mod passage;
mod reports;
mod retrying;
mod selection;
mod state;
mod trail;

use std::cell;
use std::rc;
use std::time;

use admission::Quota;
use compact_str::CompactString;
use hyper::body::Incoming;
use routing::{Directory, Endpoint, Group, Observer, Rotation, Table};
use xxhash_rust::xxh3;

use super::arrival::Arrival;
use super::counts::Ingress as Counts;
use super::{Asked, Context, Dialect, Key, Native, Owner, Patience, Problem, Reason, Source};

use self::journey::Journey;
use self::passage::Passage;
use self::reports::Reports;
use self::state::State;

/// Handler of callers' requests; clones share its state.
pub struct Ingress<L, O, D = Native> {
    shared: rc::Rc<Shared<L, O, D>>,
}

struct Shared<L, O, D> {
    context: Context<D>,
    observer: O,
    owner: Owner<L, D>,
    quota: Quota,
    state: cell::RefCell<State>,
    counts: cell::Cell<Counts>,
    /// Number of the last id that was given.
    sequence: cell::Cell<u64>,
    /// How long requests wait for a backend server.
    patience: Patience,
    /// Part of the ids of this process.
    origin: u32,
}

/// Where an attempt goes.
struct Target {
    endpoint: rc::Rc<Endpoint>,
    group: Option<rc::Rc<Group>>,
}

/// An answer at the ingress.
struct Answer<L, O: Observer, D: Dialect> {
    parts: http::response::Parts,
    source: Source,
    passage: Passage<L, O, D>,
}

impl<L, O, D> Clone for Ingress<L, O, D> {
    fn clone(&self) -> Self {
        let shared = self.shared.clone();
        Self { shared }
    }
}

impl<L: peer::Link, O: Observer, D: Dialect> Ingress<L, O, D> {
    /// Part of the time left that is kept back from the owner, so that its answer arrives in time.
    const DEADLINE_PART: u32 = 20;
    /// Longest time that is kept back.
    const DEADLINE_MARGIN: time::Duration = time::Duration::from_millis(5);

    /// An ingress that shares `owner` with the mesh listener.
    #[must_use]
    pub fn new(context: Context<D>, observer: O, owner: Owner<L, D>) -> Self {
        let settings = context.settings.clone();
        let directory = Directory::new(context.node.clone(), context.data_centre.clone());
        let state = State {
            table: rc::Rc::default(),
            directory,
            rotation: Rotation::default(),
            settled: false,
            usual: Vec::new(),
            reports: Reports::default(),
        };
        let shared = Shared {
            observer,
            owner,
            quota: Quota::new(settings.admission.ingress_requests),
            state: cell::RefCell::new(state),
            counts: cell::Cell::default(),
            sequence: cell::Cell::new(0),
            patience: Patience::new(time::Instant::now()),
            origin: rand::random(),
            context,
        };
        Self {
            shared: rc::Rc::new(shared),
        }
    }

    /// The owner in this process.
    #[must_use]
    pub fn owner(&self) -> &Owner<L, D> {
        &self.shared.owner
    }

    /// Figures.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.counts.get()
    }

    /// Backend servers as this node sees them.
    #[must_use]
    pub fn endpoints(&self) -> Vec<rc::Rc<Endpoint>> {
        self.shared.state.borrow().directory.endpoints().to_vec()
    }

    /// Takes over configuration and members, and closes idle connections; to be called each second.
    pub fn maintain(&self, now: time::Instant) {
        self.refresh(now);
        self.forget_reports(now);
        self.shared.owner.pools().maintain(now);
        self.shared.owner.maintain(now);
    }

    fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.shared.counts.get();
        change(&mut counts);
        self.shared.counts.set(counts);
    }

    /// Takes over configuration and members where they have changed.
    fn refresh(&self, now: time::Instant) {
        let snapshot = self.shared.context.holder.get();
        let view = self.shared.context.members.get();
        let mut state = self.shared.state.borrow_mut();
        if state.table.version() != snapshot.version() {
            state.table = rc::Rc::new(Table::new(&snapshot));
            state.forget_routes(&snapshot);
        }
        let context = &self.shared.context;
        let changed = state.directory.update(&view, &context.settings.choice, now);
        if changed {
            state.mark_leaving();
        }
        // Where no moves are followed the versions are listed, and there is nothing to observe.
        if !context.splits.is_known() {
            return;
        }
        if changed || !state.settled {
            state.settled = true;
            for service in snapshot.services() {
                let ready = state.directory.ready_versions(&service.name);
                let elsewhere = state.directory.versions_elsewhere(&service.name);
                let open = |version: &str| !context.withheld.contains(&service.name, version);
                context
                    .splits
                    .observe(&service.name, &ready, &elsewhere, open);
            }
        }
    }

    fn forget_reports(&self, now: time::Instant) {
        let state = &mut *self.shared.state.borrow_mut();
        state.reports.forget(state.directory.endpoints(), now);
    }

    fn next_id(&self) -> u64 {
        let number = self.shared.sequence.get() + 1;
        self.shared.sequence.set(number);
        number
    }

    /// Reads a request and finds its route.
    fn arrive(
        &self,
        request: http::Request<Incoming>,
        id: &CompactString,
        asked: Asked,
    ) -> Result<Arrival, Problem> {
        let (head, body) = request.into_parts();
        let host = Arrival::check(&head)?;
        self.refresh(time::Instant::now());
        let table = self.shared.state.borrow().table.clone();
        if table.version() == units::Version::default() {
            return Err(Problem::later(Reason::Unconfigured));
        }
        let route = table.find(&host, head.uri.path());
        let route = route.ok_or(Problem::refused(Reason::NoRoute))?.clone();
        let usual = self.shared.state.borrow_mut().usual(&route.name);
        let context = &self.shared.context;
        let caller = context.dialect.caller(&context.node, &head);
        let service = route.draw_service(rand::random()).clone();
        let keep = context.settings.upstream.replay.as_len();
        Arrival::new(
            head,
            body,
            id.clone(),
            asked,
            (route, usual),
            service,
            caller,
            keep,
            self.shared.owner.repeats(),
        )
    }

    /// Runs a request to an answer or a problem within its deadline.
    async fn serve(&self, arrival: &Arrival) -> Result<Answer<L, O, D>, Problem> {
        if arrival.left().is_zero() {
            return Err(Problem::refused(Reason::Deadline));
        }
        let Some(entry) = self.shared.quota.enter(&arrival.service) else {
            return Err(Problem::later(Reason::Refused(
                admission::Reason::OverShare,
            )));
        };
        let journey = Journey::default();
        let work = async {
            if self.shared.context.settings.baseline {
                self.run_blindly(arrival, &journey).await
            } else if let Some(key) = &arrival.key {
                self.run_keyed(arrival, key, &journey).await
            } else {
                self.run(arrival, &journey).await
            }
        };
        match compio::time::timeout_at(arrival.deadline, work).await {
            Ok(Ok(mut answer)) => {
                answer.passage.entry = Some(entry);
                Ok(answer)
            }
            Ok(Err(problem)) => Err(journey.tell(problem)),
            Err(_) => {
                self.observe_unanswered(arrival, &journey);
                Err(Problem {
                    outcome: journey.outcome(),
                    ..Problem::unknown(Reason::Deadline)
                })
            }
        }
    }
}

/// Hash of an idempotency key or of a route's name.
fn hash_key(key: &str) -> u64 {
    xxh3::xxh3_64(key.as_bytes())
}
