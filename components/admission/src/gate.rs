//! Admission gate of the backend server.

mod counts;
mod dump;
mod rates;
mod state;
mod turns;

use std::cell;
use std::rc;
use std::time;

use futures_channel::oneshot;

pub use self::counts::Counts;
pub use self::dump::Dump;
use self::state::{State, Waiter};
use crate::runtimes::Runtimes;
use crate::waiting::Waiting;
use crate::{
    Announced, Limit, Permit, RateLimiter, Reason, Refusal, Report, Request, Settings, Shares,
    Warmup,
};

/// Admission gate that decides when a request may run at the backend server; clones share the state.
#[derive(Clone)]
pub struct Gate {
    shared: rc::Rc<Shared>,
}

struct Shared {
    settings: rc::Rc<Settings>,
    state: cell::RefCell<State>,
}

impl Gate {
    /// Retry delay in refusals while there is no usable backend server.
    const PHASE_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);
    /// Maximum delay of a wakeup after the time of the next turn.
    const WAKEUP_SLACK: time::Duration = time::Duration::from_millis(1);
    /// Maximum number of workspaces that a dump shows.
    const MAX_SHOWN: usize = 16;
    /// Maximum number of queued requests that have to run alone.
    const MAX_QUEUED_ALONE: usize = 32;

    /// Creates a gate without a backend server.
    #[must_use]
    pub fn new(settings: rc::Rc<Settings>) -> Self {
        let limit = Limit::new(1, &settings);
        let state = State {
            announced: None,
            expires: None,
            limit,
            rate_limiter: RateLimiter::new(time::Instant::now()),
            warmup: Warmup::new(time::Instant::now()),
            evacuated: false,
            instance: None,
            runtimes: Runtimes::default(),
            work: None,
            shares: Shares::new(time::Instant::now()),
            running: 0,
            alone: false,
            waiting: Waiting::new(settings.order),
            waiting_alone: std::collections::VecDeque::new(),
            stopping: false,
            wakes_at: None,
            counts: Counts::default(),
        };
        let shared = Shared {
            settings,
            state: cell::RefCell::new(state),
        };
        Self {
            shared: rc::Rc::new(shared),
        }
    }

    /// Sets the time at which the last announcement expires.
    ///
    /// A process that resumes after a pause may receive requests before it detects how much time has passed.
    pub fn expire_at(&self, until: time::Instant) {
        self.shared.state.borrow_mut().expires = Some(until);
    }

    /// Applies an announcement of the backend server; `None` when the backend server has become unresponsive.
    pub fn announce(&self, announced: Option<&Announced>) {
        let mut state = self.shared.state.borrow_mut();
        let instance =
            |one: Option<&Announced>| one.map(|one| (one.backend.instance, one.backend.slots));
        if announced.is_some() && instance(state.announced.as_ref()) != instance(announced) {
            let slots = announced.map_or(1, |one| one.backend.slots);
            state.limit = Limit::new(slots, &self.shared.settings);
        }
        if let Some(announced) = announced {
            state.track_instance(announced.backend.instance, time::Instant::now());
        }
        let same =
            |one: &Announced| announced.is_some_and(|other| one.is_interchangeable_with(other));
        let kept = state.announced.as_ref().is_some_and(same);
        state.announced = announced.cloned();
        let refused = if kept {
            Vec::new()
        } else {
            state.drain_waiting()
        };
        drop(state);
        let refusal = Refusal::new(Reason::Draining, Self::PHASE_RETRY_AFTER);
        for waiter in refused {
            let _ = waiter.sender.send(Err(refusal));
        }
        self.dispatch();
    }

    /// Refuses new requests from now on; running and queued requests are completed.
    pub fn stop(&self) {
        self.shared.state.borrow_mut().stopping = true;
    }

    /// Last announcement of the backend server.
    #[must_use]
    pub fn announced(&self) -> Option<Announced> {
        self.shared.state.borrow().announced.clone()
    }

    /// Running and queued requests, as a fraction of the concurrency limit.
    #[must_use]
    pub fn load(&self) -> f64 {
        let state = self.shared.state.borrow();
        let busy = state.running + state.waiting.len() + state.waiting_alone.len();
        // Both are small integers.
        #[allow(clippy::cast_precision_loss)]
        let load = busy as f64 / state.limit.current().max(1) as f64;
        load
    }

    /// Returns what to tell with an answer of `route` about the work left at the backend server, which is
    /// measured from the first call on.
    #[must_use]
    pub fn report(&self, route: u64, now: time::Instant) -> Report {
        let mut state = self.shared.state.borrow_mut();
        state.report(route, now)
    }

    /// Counters since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.state.borrow().counts
    }

    /// State for diagnostics.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let state = self.shared.state.borrow();
        Dump {
            announced: state.announced.clone(),
            limit: state.limit.current(),
            running: state.running,
            waiting: state.waiting.len() + state.waiting_alone.len(),
            latency_ms: state.limit.latency().as_secs_f64() * 1_000.0,
            rate: state.rate_limiter.rate().map(|rate| rate.0),
            cold: state.warmup.is_cold(time::Instant::now()),
            evacuated: state.evacuated,
            over_share: state.shares.over().take(Self::MAX_SHOWN).cloned().collect(),
            worst_tenth: state.shares.worst_tenth(),
            counts: state.counts,
        }
    }

    /// Waits until the request may run.
    ///
    /// # Errors
    /// A refusal, returned at once if it can be predicted.
    pub async fn admit(&self, request: &Request) -> Result<Permit, Refusal> {
        let receiver = match self.try_admit(request, time::Instant::now())? {
            Decision::Admitted(permit) => return Ok(permit),
            Decision::Queued(receiver) => receiver,
        };
        let left = request
            .deadline
            .saturating_duration_since(time::Instant::now());
        let wait = left.min(self.shared.settings.queue_wait.0);
        match compio::time::timeout(wait, receiver).await {
            Ok(Ok(admitted)) => admitted,
            Ok(Err(_)) | Err(_) => {
                let mut state = self.shared.state.borrow_mut();
                state.remove_cancelled();
                state.counts.refused_waited += 1;
                Err(state.refuse(Reason::Waited, request.route, wait))
            }
        }
    }

    fn try_admit(&self, request: &Request, now: time::Instant) -> Result<Decision, Refusal> {
        let mut state = self.shared.state.borrow_mut();
        state.check_phase(request, now)?;
        state.track_arrival(request, now);
        state.check_deadline(request, now)?;
        state.check_turn(request, self.shared.settings.queue_wait.0, now)?;
        if state.may_run(request.alone, now) {
            state.start(request.alone);
            state.track_start(request.route, &request.workspace, now);
            return Ok(Decision::Admitted(Permit::new(
                self.clone(),
                request.route,
                request.alone,
                now,
            )));
        }
        state.limit.record_reached();
        let (sender, receiver) = oneshot::channel();
        let over_share = state.mark(&request.workspace);
        let evicted = state.enqueue(
            request,
            Waiter {
                route: request.route,
                workspace: request.workspace.clone(),
                over_share,
                sender,
            },
            &self.shared.settings,
            now,
        );
        if let Some(evicted) = evicted {
            let reason = if evicted.over_share {
                Reason::WorkspaceOverShare
            } else {
                Reason::Full
            };
            let refusal = state.refuse_queued(reason, evicted.route);
            let _ = evicted.sender.send(Err(refusal));
        }
        drop(state);
        self.shed_limited();
        self.schedule_dispatch();
        Ok(Decision::Queued(receiver))
    }

    /// Refuses queued requests that are likely to be late while enough others can be in time.
    fn shed_late(&self) {
        let mut state = self.shared.state.borrow_mut();
        let enough = state.limit.current();
        let shed = state.waiting.shed_late(time::Instant::now(), enough);
        state.counts.refused_late += shed.len() as u64;
        let refusals: Vec<_> = shed
            .into_iter()
            .map(|waiter| {
                let refusal = state.refuse_queued(Reason::Late, waiter.route);
                (waiter, refusal)
            })
            .collect();
        drop(state);
        for (waiter, refusal) in refusals {
            let _ = waiter.sender.send(Err(refusal));
        }
    }

    /// Refuses queued requests whose turn is too late because the rate has changed or others are ahead.
    fn shed_limited(&self) {
        let mut state = self.shared.state.borrow_mut();
        let shed = state.shed_limited(self.shared.settings.queue_wait.0, time::Instant::now());
        drop(state);
        for (waiter, refusal) in shed {
            let _ = waiter.sender.send(Err(refusal));
        }
    }

    /// Schedules a dispatch at the time of the next turn.
    fn schedule_dispatch(&self) {
        let mut state = self.shared.state.borrow_mut();
        let now = time::Instant::now();
        let wait = state.turn_wait(0, now);
        let is_queue_empty = state.waiting.is_empty() && state.waiting_alone.is_empty();
        let at = now + wait;
        let latest = at + Self::WAKEUP_SLACK;
        let is_scheduled = state.wakes_at.is_some_and(|at| at <= latest);
        if is_scheduled || is_queue_empty || wait.is_zero() {
            return;
        }
        state.wakes_at = Some(at);
        drop(state);
        let shared = rc::Rc::downgrade(&self.shared);
        compio::runtime::spawn(async move {
            compio::time::sleep_until(at).await;
            if let Some(shared) = shared.upgrade() {
                let gate = Self { shared };
                // An earlier wakeup, for a higher rate, may have replaced this one.
                let mut state = gate.shared.state.borrow_mut();
                state.wakes_at = state.wakes_at.filter(|wakes_at| *wakes_at > at);
                drop(state);
                gate.dispatch();
            }
        })
        .detach();
    }

    /// Admits queued requests while there is capacity.
    fn dispatch(&self) {
        self.shed_late();
        self.shed_limited();
        loop {
            let next = self.shared.state.borrow_mut().pop_runnable();
            let Some((waiter, alone)) = next else {
                break;
            };
            let now = time::Instant::now();
            let mut state = self.shared.state.borrow_mut();
            state.track_start(waiter.route, &waiter.workspace, now);
            drop(state);
            let permit = Permit::new(self.clone(), waiter.route, alone, now);
            // A cancelled waiter drops the permit, which admits the next one.
            let _ = waiter.sender.send(Ok(permit));
        }
        self.schedule_dispatch();
    }

    pub(crate) fn record_answer(&self, route: u64, latency: time::Duration) {
        let mut state = self.shared.state.borrow_mut();
        state.limit.record_answer(latency);
        state.runtimes.add(route, latency, time::Instant::now());
        if let Some(work) = &mut state.work {
            work.add(route, latency);
        }
    }

    pub(crate) fn record_shed(&self) {
        self.shared.state.borrow_mut().limit.record_shed();
    }

    pub(crate) fn release(&self, route: u64, alone: bool, started: time::Instant) {
        let mut state = self.shared.state.borrow_mut();
        if let Some(work) = &mut state.work {
            work.end(route, started);
        }
        state.running = state.running.saturating_sub(1);
        if alone {
            state.alone = false;
        }
        drop(state);
        self.dispatch();
    }
}

enum Decision {
    Admitted(Permit),
    Queued(oneshot::Receiver<Result<Permit, Refusal>>),
}
