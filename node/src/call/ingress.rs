//! Ingress: receives requests from callers and sends them to owners.

mod attempt;
mod backend_status;
mod confines;
mod credential;
mod delivery;
mod handler;
mod history;
mod idempotency;
mod progress;
mod quota;
mod reports;
mod retry;
mod selection;
mod state;

use std::cell;
use std::rc;
use std::time;

use admission::Bulkhead;
use compact_str::CompactString;
use hyper::body::Incoming;
use routing::{Directory, Endpoint, Group, Observer, RoundRobin, Table};
use xxhash_rust::xxh3;

use super::arrival::Arrival;
use super::counts::Ingress as Counts;
use super::{
    Context, Dialect, Key, Native, Owner, Problem, Reason, RequestMetadata, Source, WaitPolicy,
};

use self::delivery::Delivery;
use self::progress::Progress;
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
    bulkhead: Bulkhead,
    state: cell::RefCell<State>,
    counts: cell::Cell<Counts>,
    /// Number of the last id issued.
    sequence: cell::Cell<u64>,
    /// Policy for waiting until a backend server is available.
    wait_policy: WaitPolicy,
    /// Random prefix of the request ids of this process.
    id_prefix: u32,
}

/// Destination of an attempt.
struct Target {
    endpoint: rc::Rc<Endpoint>,
    group: Option<rc::Rc<Group>>,
}

/// Response at the ingress.
struct Answer<L, O: Observer, D: Dialect> {
    parts: http::response::Parts,
    source: Source,
    delivery: Delivery<L, O, D>,
}

impl<L, O, D> Clone for Ingress<L, O, D> {
    fn clone(&self) -> Self {
        let shared = self.shared.clone();
        Self { shared }
    }
}

impl<L: peer::Link, O: Observer, D: Dialect> Ingress<L, O, D> {
    /// Fraction of the remaining time (1/n) that is reserved, so that the owner responds in time.
    const DEADLINE_MARGIN_DIVISOR: u32 = 20;
    /// Upper bound of the reserved time.
    const DEADLINE_MARGIN_MAX: time::Duration = time::Duration::from_millis(5);

    /// Creates an ingress that shares `owner` with the mesh listener.
    #[must_use]
    pub fn new(context: Context<D>, observer: O, owner: Owner<L, D>) -> Self {
        let settings = context.settings.clone();
        let directory = Directory::new(context.node.clone(), context.data_centre.clone());
        let state = State {
            table: rc::Rc::default(),
            directory,
            round_robin: RoundRobin::default(),
            versions_observed: None,
            baselines: Vec::new(),
            reports: Reports::default(),
        };
        let shared = Shared {
            observer,
            owner,
            bulkhead: Bulkhead::new(settings.admission.ingress_requests),
            state: cell::RefCell::new(state),
            counts: cell::Cell::default(),
            sequence: cell::Cell::new(0),
            wait_policy: WaitPolicy::new(time::Instant::now()),
            id_prefix: rand::random(),
            context,
        };
        Self {
            shared: rc::Rc::new(shared),
        }
    }

    /// Returns the owner in this process.
    #[must_use]
    pub fn owner(&self) -> &Owner<L, D> {
        &self.shared.owner
    }

    /// Returns the counters of this ingress.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.counts.get()
    }

    /// Returns the backend servers known to this node.
    #[must_use]
    pub fn endpoints(&self) -> Vec<rc::Rc<Endpoint>> {
        self.shared.state.borrow().directory.endpoints().to_vec()
    }

    /// Applies configuration and membership changes, and closes idle connections; called every
    /// second.
    pub fn maintain(&self, now: time::Instant) {
        self.refresh(now);
        self.prune_reports(now);
        self.shared.owner.pools().maintain(now);
        self.shared.owner.maintain(now);
    }

    fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.shared.counts.get();
        change(&mut counts);
        self.shared.counts.set(counts);
    }

    /// Applies changes of configuration and membership.
    fn refresh(&self, now: time::Instant) {
        let snapshot = self.shared.context.holder.get();
        let view = self.shared.context.members.get();
        let mut state = self.shared.state.borrow_mut();
        if state.table.version() != snapshot.version() {
            state.table = rc::Rc::new(Table::new(&snapshot));
            state.prune_routes(&snapshot);
        }
        let context = &self.shared.context;
        let changed = state.directory.update(&view, &context.settings.choice, now);
        if changed {
            state.mark_leaving();
        }
        // Where moves are not followed, all versions are listed and there is nothing to observe.
        if !context.splits.are_moves_known() {
            return;
        }
        state.observe_versions(&context.splits, &context.withheld, changed);
    }

    fn prune_reports(&self, now: time::Instant) {
        let state = &mut *self.shared.state.borrow_mut();
        state.reports.prune(state.directory.endpoints(), now);
    }

    fn next_id(&self) -> u64 {
        let number = self.shared.sequence.get() + 1;
        self.shared.sequence.set(number);
        number
    }

    /// Parses a request and finds its route.
    fn parse(
        &self,
        request: http::Request<Incoming>,
        id: &CompactString,
        metadata: RequestMetadata,
    ) -> Result<Arrival, Problem> {
        let (mut head, body) = request.into_parts();
        let host = Arrival::check(&head)?;
        self.refresh(time::Instant::now());
        let table = self.shared.state.borrow().table.clone();
        if table.version() == units::Version::default() {
            return Err(Problem::retryable(Reason::Unconfigured));
        }
        let route = table.find(&host, head.uri.path());
        let route = route.ok_or(Problem::refused(Reason::NoRoute))?.clone();
        let credential = self.identify(&mut head.headers, &route, id)?;
        let baseline = self.shared.state.borrow_mut().baseline(&route.name);
        let context = &self.shared.context;
        let caller = context.dialect.caller(&context.node, &head);
        let service = route.draw_service(rand::random()).clone();
        let replay_limit = context.settings.upstream.replay.as_len();
        let timeout = metadata.timeout;
        let mut arrival = Arrival::new(
            head,
            body,
            id.clone(),
            metadata,
            (route, baseline),
            service,
            caller,
            replay_limit,
            self.shared.owner.repeats(),
        )?;
        self.assign_workspace(&mut arrival, credential);
        if let Some(timeout) = timeout.filter(|_| context.settings.infer_first_attempts) {
            let spent = arrival.baseline.observe_timeout(timeout);
            arrival.subtract_time_spent(spent);
        }
        Ok(arrival)
    }

    fn promises_not_run(&self, answer: &Answer<L, O, D>) -> bool {
        let dialect = &self.shared.context.dialect;
        dialect.promises_not_run(answer.parts.status)
    }

    /// Processes a request within its deadline, up to a response or a problem.
    async fn serve(&self, arrival: &Arrival) -> Result<Answer<L, O, D>, Problem> {
        if arrival.time_left().is_zero() {
            return Err(Problem::refused(Reason::Deadline));
        }
        let Some(bulkhead_entry) = self.shared.bulkhead.acquire(&arrival.service) else {
            return Err(Problem::retryable(Reason::Refused(
                admission::Reason::OverShare,
            )));
        };
        let progress = Progress::default();
        // Boxed, as its place in the futures around it would be several times its size.
        let run = Box::pin(async {
            let token = self.take_token(arrival).await?;
            let result = if self.shared.context.settings.baseline {
                self.run_baseline(arrival, &progress).await
            } else if let Some(key) = &arrival.key {
                self.run_keyed(arrival, key, &progress).await
            } else {
                self.run(arrival, &progress).await
            };
            if result.is_err() && progress.is_unreached() {
                self.shared.context.quota.give_back(token);
            }
            result
        });
        match compio::time::timeout_at(arrival.deadline, run).await {
            // A backend server that has run the request cannot promise that.
            Ok(Ok(answer)) if !arrival.idempotent && self.promises_not_run(&answer) => {
                Err(Problem::unknown(Reason::Failure))
            }
            Ok(Ok(mut answer)) => {
                answer.delivery.bulkhead_entry = Some(bulkhead_entry);
                Ok(answer)
            }
            Ok(Err(problem)) => Err(progress.final_problem(problem)),
            Err(_) => {
                self.observe_unanswered(arrival, &progress);
                Err(Problem {
                    outcome: progress.outcome(),
                    ..Problem::unknown(Reason::Deadline)
                })
            }
        }
    }
}

/// Hashes an idempotency key or a route name.
fn hash_text(text: &str) -> u64 {
    xxh3::xxh3_64(text.as_bytes())
}
