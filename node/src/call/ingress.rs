//! The node that takes a request from its caller.

mod journey;
mod keyed;
mod passage;
mod selection;
mod trail;

use std::cell;
use std::rc;
use std::time;

use admission::Quota;
use compact_str::{CompactString, format_compact};
use hyper::body::Incoming;
use routing::{Directory, Endpoint, Group, Observer, Rotation, Sample, Table, Usual};
use upstream::{Budget, Outcome, Payload};
use xxhash_rust::xxh3;

use super::arrival::Arrival;
use super::counts::Ingress as Counts;
use super::event::{Event, Inputs};
use super::owner::{Job, Serving, broken_body, build, respond};
use super::{
    Asked, Attempt, Context, Decision, Dialect, Download, Envelope, Headers, Key, Native, Owner,
    Problem, Reason, Retry, Source,
};

use self::journey::Journey;
use self::passage::Passage;
use self::trail::Trail;

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
    /// Part of the ids of this process.
    origin: u32,
}

struct State {
    table: rc::Rc<Table>,
    directory: Directory,
    rotation: Rotation,
    /// The versions of the last view were taken over with all moves known.
    settled: bool,
    /// Sorted by service.
    budgets: Vec<(CompactString, Budget)>,
    /// Usual latencies, sorted by route.
    usual: Vec<(CompactString, rc::Rc<Usual>)>,
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
            budgets: Vec::new(),
            usual: Vec::new(),
        };
        let shared = Shared {
            observer,
            owner,
            quota: Quota::new(settings.admission.ingress_requests),
            state: cell::RefCell::new(state),
            counts: cell::Cell::default(),
            sequence: cell::Cell::new(0),
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
        if changed || !state.settled {
            state.settled = context.splits.is_known();
            for service in snapshot.services() {
                let ready = state.directory.ready_versions(&service.name);
                let open = |version: &str| !context.withheld.contains(&service.name, version);
                context.splits.observe(&service.name, &ready, open);
            }
        }
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
            Err(_) => Err(Problem {
                outcome: journey.outcome(),
                ..Problem::unknown(Reason::Deadline)
            }),
        }
    }

    /// Attempts a request until it is answered or must not be sent again.
    async fn run(&self, arrival: &Arrival, journey: &Journey) -> Result<Answer<L, O, D>, Problem> {
        let mut trail = Trail::default();
        self.earn(arrival);
        loop {
            let target = self.choose(arrival, &trail)?;
            let attempts = trail.attempts() + 1;
            let envelope = self.envelope(arrival, &target.endpoint, attempts, trail.suspect, None);
            let endpoint = target.endpoint.clone();
            let problem = match self.attempt(arrival, target, envelope, journey).await {
                Ok(answer) if answer.parts.status.is_server_error() => {
                    trail.reached += 1;
                    if !self.may_retry(arrival, &trail, Outcome::Ran, attempts) {
                        return Ok(answer);
                    }
                    self.observe(&answer.passage.attempt, &arrival.route.name, true);
                    journey.end(Problem::unknown(Reason::Failure));
                    let node = &endpoint.node;
                    let problem = None;
                    Event::Retried { node, problem }.log(&self.inputs(arrival, attempts));
                    trail.tried.push(endpoint.node.clone());
                    continue;
                }
                Ok(answer) => return Ok(answer),
                Err(problem) => problem,
            };
            trail.reached += u32::from(problem.reason.is_from_backend());
            trail.last = Some(problem);
            let withheld = problem.reason.is(Reason::Withheld);
            if withheld && trail.closed.is_none() && arrival.payload.is_replayable() {
                // Sent elsewhere once, which is no retry: nothing has run or failed.
                trail.closed = Some(endpoint.version.clone());
                trail.tried.push(endpoint.node.clone());
                continue;
            }
            let outcome = problem.outcome.max(journey.outcome());
            if problem.reason.is_final() || !self.may_retry(arrival, &trail, outcome, attempts) {
                return Err(problem);
            }
            let crashed = problem.reason.is(Reason::Crashed);
            if crashed && trail.suspect {
                // A retry would be faster than the owners' notices of the two crashes.
                return Err(problem);
            }
            trail.suspect |= crashed;
            let retried = Event::Retried {
                node: &endpoint.node,
                problem: Some(&problem),
            };
            retried.log(&self.inputs(arrival, attempts));
            trail.tried.push(endpoint.node.clone());
        }
    }

    /// What is known of a request, for a log line.
    fn inputs<'e>(&self, arrival: &'e Arrival, attempts: u32) -> Inputs<'e> {
        Inputs {
            request: &arrival.id,
            service: &arrival.service,
            configuration: self.shared.context.holder.get().version(),
            attempts,
            left: arrival.left(),
        }
    }

    fn may_retry(&self, arrival: &Arrival, trail: &Trail, outcome: Outcome, attempts: u32) -> bool {
        let decision = Decision {
            outcome,
            idempotent: arrival.idempotent,
            replayable: arrival.payload.is_replayable(),
            retried_above: arrival.attempt > 1,
            attempts,
            reached: trail.reached,
            reach: arrival.route.attempts,
            left: arrival.left(),
        };
        let retry = &self.shared.context.settings.retry;
        let mut state = self.shared.state.borrow_mut();
        let allowed = retry.allows(&decision, state.budget(&arrival.service, retry));
        drop(state);
        if allowed && !arrival.idempotent && decision.outcome != Outcome::NotRun {
            self.count(|counts| counts.repeated += 1);
            log::error!(request = arrival.id.as_str();
                "invariant violated: a request that may have run is sent again");
            return false;
        }
        allowed
    }

    /// Counts a first attempt in the retry budget.
    fn earn(&self, arrival: &Arrival) {
        if arrival.attempt > 1 {
            return;
        }
        let retry = &self.shared.context.settings.retry;
        let mut state = self.shared.state.borrow_mut();
        let budget = state.budget(&arrival.service, retry);
        budget.earn(arrival.depth);
    }

    /// The baseline: round robin, and three retries whatever became of the request.
    async fn run_blindly(
        &self,
        arrival: &Arrival,
        journey: &Journey,
    ) -> Result<Answer<L, O, D>, Problem> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            let target = self.rotate(arrival)?;
            let envelope = self.envelope(arrival, &target.endpoint, attempts, false, None);
            let ended = self.attempt(arrival, target, envelope, journey).await;
            let failed = match &ended {
                Ok(answer) => answer.parts.status.is_server_error(),
                Err(_) => true,
            };
            let last = attempts >= Retry::BASELINE_ATTEMPTS;
            if !failed || last || !arrival.payload.is_replayable() {
                return ended;
            }
        }
    }

    fn envelope(
        &self,
        arrival: &Arrival,
        endpoint: &Endpoint,
        attempts: u32,
        suspect: bool,
        key: Option<Key>,
    ) -> Envelope {
        let left = arrival.left();
        let margin = (left / Self::DEADLINE_PART).min(Self::DEADLINE_MARGIN);
        Envelope {
            request: format_compact!("{}.{:x}", arrival.id, self.next_id()),
            deadline: arrival
                .deadline
                .checked_sub(margin)
                .unwrap_or(arrival.deadline),
            route: hash_key(&arrival.route.name),
            target: arrival.target,
            priority: arrival.route.priority,
            attempt: arrival.attempt.saturating_add(attempts - 1),
            depth: arrival.depth,
            service: endpoint.service.clone(),
            version: endpoint.version.clone(),
            caller: arrival.caller.clone(),
            suspect,
            key,
        }
    }

    /// Sends one attempt and follows it to its answer.
    async fn attempt(
        &self,
        arrival: &Arrival,
        target: Target,
        envelope: Envelope,
        journey: &Journey,
    ) -> Result<Answer<L, O, D>, Problem> {
        self.count(|counts| {
            counts.attempts += 1;
            counts.retries += u64::from(envelope.attempt > arrival.attempt);
        });
        let settings = self.shared.context.settings.clone();
        let now = time::Instant::now();
        let usual = arrival.usual.clone();
        let mut attempt = Attempt::new(&target.endpoint, target.group, usual, settings, now);
        journey.start();
        let ended = if attempt.endpoint().own {
            self.send_here(arrival, envelope).await
        } else {
            self.send_away(arrival, &envelope, attempt.endpoint()).await
        };
        match ended {
            Ok((parts, source, owner)) => {
                journey.answer();
                attempt.answer(parts.status);
                arrival.weigh(&parts);
                let passage = Passage {
                    ingress: self.clone(),
                    attempt,
                    owner,
                    payload: arrival.payload.clone(),
                    route: arrival.route.name.clone(),
                    status: parts.status,
                    entry: None,
                };
                Ok(Answer {
                    parts,
                    source,
                    passage,
                })
            }
            Err(problem) => {
                journey.end(problem);
                let ejected = attempt.end(&problem);
                self.count(|counts| counts.ejected += u64::from(ejected));
                self.observe_problem(arrival, &attempt, &problem);
                Err(problem)
            }
        }
    }

    /// Hands an attempt to the owner in this process.
    async fn send_here(
        &self,
        arrival: &Arrival,
        envelope: Envelope,
    ) -> Result<(http::response::Parts, Source, Option<Serving<L, D>>), Problem> {
        let job = Job {
            envelope,
            head: arrival.head(),
            payload: arrival.payload.clone(),
        };
        let served = self.shared.owner.serve(job).await?;
        Ok((served.parts, served.source, served.watch))
    }

    /// Sends an attempt to the owner of `endpoint`.
    async fn send_away(
        &self,
        arrival: &Arrival,
        envelope: &Envelope,
        endpoint: &Endpoint,
    ) -> Result<(http::response::Parts, Source, Option<Serving<L, D>>), Problem> {
        let Some(feed) = arrival.payload.feed() else {
            return Err(broken_body(&arrival.payload, Outcome::NotRun));
        };
        let mut head = arrival.head();
        envelope.write(&mut head.headers, time::Instant::now());
        let headers = std::mem::take(&mut head.headers);
        let request = build(&head, headers, endpoint.address, feed)?;
        let pool = self.shared.owner.pools().get(endpoint.address);
        let sent = pool.send(request).await;
        let reply = match sent {
            Ok(reply) => reply,
            Err(failure) if arrival.payload.fault().is_some() => {
                return Err(broken_body(&arrival.payload, failure.outcome()));
            }
            Err(failure) => return Err(failure.into()),
        };
        let (parts, source) = Source::split(reply);
        self.check_match(&parts.headers, envelope)?;
        let now = time::Instant::now();
        if let Some(load) = Headers::number(&parts.headers, &Headers::LOAD) {
            // Loads are small numbers.
            #[allow(clippy::cast_precision_loss)]
            endpoint.report(load as f64 / 10_000.0, now);
        }
        match Problem::read(&parts.headers) {
            Some(problem) => Err(problem),
            None => Ok((parts, source, None)),
        }
    }

    /// Checks that an answer belongs to the attempt.
    fn check_match(&self, headers: &http::HeaderMap, envelope: &Envelope) -> Result<(), Problem> {
        let id = headers.get(Headers::REQUEST);
        if id.is_some_and(|id| id == envelope.request.as_str()) {
            return Ok(());
        }
        self.count(|counts| counts.mismatched += 1);
        log::error!(request = envelope.request.as_str();
            "invariant violated: an answer belongs to another request");
        Err(Problem::unknown(Reason::Mismatched))
    }

    /// Tells the observer of an attempt that its version failed.
    fn observe_problem(&self, arrival: &Arrival, attempt: &Attempt, problem: &Problem) {
        let crashed = problem.reason.is(Reason::Crashed);
        let late = problem.reason.is(Reason::Deadline) && problem.outcome == Outcome::Unknown;
        if crashed || late {
            self.observe(attempt, &arrival.route.name, true);
        }
    }

    fn observe(&self, attempt: &Attempt, route: &CompactString, failed: bool) {
        let endpoint = attempt.endpoint();
        self.shared.observer.observe(&Sample {
            service: endpoint.service.clone(),
            version: endpoint.version.clone(),
            route: route.clone(),
            failed,
            latency: attempt.elapsed(),
        });
    }
}

impl State {
    /// The usual latency of the route called `name`.
    fn usual(&mut self, name: &CompactString) -> rc::Rc<Usual> {
        match self.usual.binary_search_by(|one| one.0.cmp(name)) {
            Ok(place) => self.usual[place].1.clone(),
            Err(place) => {
                let usual = rc::Rc::new(Usual::default());
                self.usual.insert(place, (name.clone(), usual.clone()));
                usual
            }
        }
    }

    /// Forgets the usual latencies of routes that are gone.
    fn forget_routes(&mut self, snapshot: &config::Snapshot) {
        self.usual.retain(|one| snapshot.route(&one.0).is_some());
    }

    fn budget(&mut self, service: &CompactString, retry: &Retry) -> &mut Budget {
        let place = self.budgets.binary_search_by(|one| one.0.cmp(service));
        let place = place.unwrap_or_else(|place| {
            let budget = Budget::new(retry.ratio, retry.saved);
            self.budgets.insert(place, (service.clone(), budget));
            place
        });
        &mut self.budgets[place].1
    }
}

/// Counts a request whose caller goes away before its answer.
struct Gone<'i, L: peer::Link, O: Observer, D: Dialect> {
    ingress: &'i Ingress<L, O, D>,
    payload: Option<Payload>,
}

impl<L: peer::Link, O: Observer, D: Dialect> Drop for Gone<'_, L, O, D> {
    fn drop(&mut self) {
        if let Some(payload) = self.payload.take() {
            self.ingress.count(|counts| counts.cancelled += 1);
            payload.abandon();
        }
    }
}

impl<L: peer::Link, O: Observer, D: Dialect> web::Handler for Ingress<L, O, D> {
    type Body = Download<Passage<L, O, D>>;

    async fn handle(self, request: http::Request<Incoming>) -> http::Response<Self::Body> {
        self.count(|counts| counts.requests += 1);
        let dialect = self.shared.context.dialect.clone();
        let (head, body) = request.into_parts();
        let asked = dialect.read(&head);
        let given = asked.as_ref().ok().and_then(|asked| asked.id.clone());
        let id = given
            .unwrap_or_else(|| format_compact!("{:x}-{:x}", self.shared.origin, self.next_id()));
        let request = http::Request::from_parts(head, body);
        let arrived = asked.map_err(Problem::refused);
        let arrived = arrived.and_then(|asked| self.arrive(request, &id, asked));
        let answer = match arrived {
            Ok(arrival) => {
                let payload = Some(arrival.payload.clone());
                let mut gone = Gone {
                    ingress: &self,
                    payload,
                };
                let deadline = arrival.deadline;
                let served = self.serve(&arrival).await;
                gone.payload = None;
                if let Err(problem) = &served {
                    Event::Ended(problem).log(&self.inputs(&arrival, 0));
                }
                served.map(|answer| (answer, deadline))
            }
            Err(problem) => Err(problem),
        };
        match answer {
            Ok((answer, deadline)) => complete(&dialect, answer, deadline, &id),
            Err(problem) => {
                self.count(|counts| match problem.outcome {
                    Outcome::NotRun => counts.not_run += 1,
                    Outcome::Unknown | Outcome::Ran => counts.unknown += 1,
                });
                respond(dialect.answer(&problem, &id))
            }
        }
    }
}

/// The answer as its caller gets it.
fn complete<L: peer::Link, O: Observer, D: Dialect>(
    dialect: &D,
    answer: Answer<L, O, D>,
    deadline: time::Instant,
    id: &str,
) -> http::Response<Download<Passage<L, O, D>>> {
    let download = Download::new(answer.source, Some(answer.passage), deadline);
    let mut response = http::Response::from_parts(answer.parts, download);
    *response.version_mut() = http::Version::HTTP_11;
    dialect.finish(response.headers_mut(), id);
    response
}

/// Hash of an idempotency key or of a route's name.
fn hash_key(key: &str) -> u64 {
    xxh3::xxh3_64(key.as_bytes())
}
