//! Decides when a request may run at the backend server.

mod counts;
mod dump;
mod state;

use std::cell;
use std::rc;
use std::time;

use futures_channel::oneshot;

pub use self::counts::Counts;
pub use self::dump::Dump;
use self::state::{State, Waiter};
use crate::runtimes::Runtimes;
use crate::waiting::Waiting;
use crate::{Announced, Ask, Change, Limit, Named, Pace, Permit, Reason, Refusal, Settings, Usage};

/// Decides when a request may run at the backend server; clones share the state.
#[derive(Clone)]
pub struct Gate {
    shared: rc::Rc<Shared>,
}

struct Shared {
    settings: rc::Rc<Settings>,
    state: cell::RefCell<State>,
}

impl Gate {
    /// Wait that a caller is told while there is no usable backend server.
    const PHASE_WAIT: time::Duration = time::Duration::from_millis(500);
    /// Time by which a look for the next turn may be late.
    const LOOK_SLACK: time::Duration = time::Duration::from_millis(1);
    /// Most requests that wait to run alone.
    const ALONE_LIMIT: usize = 32;

    /// A gate without a backend server.
    #[must_use]
    pub fn new(settings: rc::Rc<Settings>) -> Self {
        let limit = Limit::new(1, &settings);
        let state = State {
            announced: None,
            until: None,
            limit,
            pace: Pace::new(time::Instant::now()),
            paced: None,
            runtimes: Runtimes::default(),
            running: 0,
            alone: false,
            waiting: Waiting::new(settings.order),
            waiting_alone: std::collections::VecDeque::new(),
            stopping: false,
            looked_at: None,
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

    /// What the backend server has announced counts until then.
    ///
    /// A process that was paused takes requests before it notices how much time has passed.
    pub fn expire_at(&self, until: time::Instant) {
        self.shared.state.borrow_mut().until = Some(until);
    }

    /// Takes what the backend server announces; `None` when it has fallen silent.
    pub fn announce(&self, announced: Option<&Announced>) {
        let mut state = self.shared.state.borrow_mut();
        let instance =
            |one: Option<&Announced>| one.map(|one| (one.backend.instance, one.backend.slots));
        if announced.is_some() && instance(state.announced.as_ref()) != instance(announced) {
            let slots = announced.map_or(1, |one| one.backend.slots);
            state.limit = Limit::new(slots, &self.shared.settings);
        }
        if let Some(announced) = announced {
            state.know(announced.backend.instance, time::Instant::now());
        }
        let same = |one: &Announced| announced.is_some_and(|other| one.is_like(other));
        let kept = state.announced.as_ref().is_some_and(same);
        state.announced = announced.cloned();
        let refused = if kept {
            Vec::new()
        } else {
            state.drain_waiting()
        };
        drop(state);
        let refusal = Refusal::new(Reason::Draining, Self::PHASE_WAIT);
        for waiter in refused {
            let _ = waiter.sender.send(Err(refusal));
        }
        self.pump();
    }

    /// Takes what an answer of the backend server with this `instance` names, to a request that was sent
    /// at `sent`.
    pub fn hear(&self, instance: u64, named: Named, sent: time::Instant) -> Change {
        let mut state = self.shared.state.borrow_mut();
        if state.paced != Some(instance) {
            return Change::None;
        }
        let change = state.pace.hear(named, sent, time::Instant::now());
        drop(state);
        if matches!(change, Change::Named { .. } | Change::Lifted { .. }) {
            self.pump();
        }
        change
    }

    /// Number of the start of the backend server that announced itself last.
    #[must_use]
    pub fn instance(&self) -> Option<u64> {
        self.shared.state.borrow().paced
    }

    /// The rate that it has named.
    #[must_use]
    pub fn rate(&self) -> Option<units::Rate> {
        self.shared.state.borrow().pace.rate()
    }

    /// Takes the rate that others know of the backend server with this `instance`; returns whether it
    /// counts, as it does until that has answered here.
    pub fn learn(&self, instance: u64, rate: units::Rate) -> bool {
        let mut state = self.shared.state.borrow_mut();
        state.paced == Some(instance) && state.pace.learn(rate, time::Instant::now())
    }

    /// Time after which the sender of a request is welcome again; `None` where the backend server has
    /// not named a rate.
    #[must_use]
    pub fn promise(&self) -> Option<time::Duration> {
        let mut state = self.shared.state.borrow_mut();
        let ahead = state.waiting.len();
        state.pace.promise(ahead, time::Instant::now())
    }

    /// What arrived under the rate that the backend server has named.
    #[must_use]
    pub fn usage(&self) -> Option<Usage> {
        self.shared
            .state
            .borrow_mut()
            .pace
            .usage(time::Instant::now())
    }

    /// Refuses new requests from now on; those that run or wait are ended.
    pub fn stop(&self) {
        self.shared.state.borrow_mut().stopping = true;
    }

    /// What the backend server announced last.
    #[must_use]
    pub fn announced(&self) -> Option<Announced> {
        self.shared.state.borrow().announced.clone()
    }

    /// Requests that run or wait, as a part of the limit.
    #[must_use]
    pub fn load(&self) -> f64 {
        let state = self.shared.state.borrow();
        let busy = state.running + state.waiting.len() + state.waiting_alone.len();
        // Both are small whole numbers.
        #[allow(clippy::cast_precision_loss)]
        let load = busy as f64 / state.limit.current().max(1) as f64;
        load
    }

    /// Figures.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.state.borrow().counts
    }

    /// State.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let state = self.shared.state.borrow();
        Dump {
            announced: state.announced.clone(),
            limit: state.limit.current(),
            running: state.running,
            waiting: state.waiting.len() + state.waiting_alone.len(),
            latency_ms: state.limit.latency().as_secs_f64() * 1_000.0,
            rate: state.pace.rate().map(|rate| rate.0),
            counts: state.counts,
        }
    }

    /// Waits for permission to run.
    ///
    /// # Errors
    /// A refusal, at once where it can be foreseen.
    pub async fn admit(&self, ask: &Ask) -> Result<Permit, Refusal> {
        let receiver = match self.enter(ask, time::Instant::now())? {
            Entered::Now(permit) => return Ok(permit),
            Entered::Later(receiver) => receiver,
        };
        let left = ask.deadline.saturating_duration_since(time::Instant::now());
        let wait = left.min(self.shared.settings.queue_wait.0);
        match compio::time::timeout(wait, receiver).await {
            Ok(Ok(admitted)) => admitted,
            Ok(Err(_)) | Err(_) => {
                let mut state = self.shared.state.borrow_mut();
                state.forget_cancelled();
                state.counts.refused_waited += 1;
                Err(state.refuse(Reason::Waited, ask.route, wait))
            }
        }
    }

    fn enter(&self, ask: &Ask, now: time::Instant) -> Result<Entered, Refusal> {
        let mut state = self.shared.state.borrow_mut();
        state.check_phase(ask, now)?;
        state.check_time(ask, now)?;
        state.check_turn(ask, self.shared.settings.queue_wait.0, now)?;
        if state.has_room(ask.alone, now) {
            state.take(ask.alone);
            return Ok(Entered::Now(Permit::new(
                self.clone(),
                ask.route,
                ask.alone,
                now,
            )));
        }
        state.limit.reach();
        let (sender, receiver) = oneshot::channel();
        let evicted = state.enqueue(
            ask,
            Waiter {
                route: ask.route,
                sender,
            },
            &self.shared.settings,
            now,
        );
        if let Some(evicted) = evicted {
            let refusal = state.turn_away(Reason::Full, evicted.route);
            let _ = evicted.sender.send(Err(refusal));
        }
        drop(state);
        self.shed_limited();
        self.await_turn();
        Ok(Entered::Later(receiver))
    }

    /// Refuses those who wait in vain because enough others wait that can still be in time.
    fn shed_late(&self) {
        let mut state = self.shared.state.borrow_mut();
        let enough = state.limit.current();
        let shed = state.waiting.shed_late(time::Instant::now(), enough);
        state.counts.refused_late += shed.len() as u64;
        let refusals: Vec<_> = shed
            .into_iter()
            .map(|waiter| {
                let refusal = state.turn_away(Reason::Late, waiter.route);
                (waiter, refusal)
            })
            .collect();
        drop(state);
        for (waiter, refusal) in refusals {
            let _ = waiter.sender.send(Err(refusal));
        }
    }

    /// Refuses those whose turn comes too late, since the rate has changed or others go first.
    fn shed_limited(&self) {
        let mut state = self.shared.state.borrow_mut();
        let shed = state.shed_limited(self.shared.settings.queue_wait.0, time::Instant::now());
        drop(state);
        for (waiter, refusal) in shed {
            let _ = waiter.sender.send(Err(refusal));
        }
    }

    /// Lets the next request through when its turn has come.
    fn await_turn(&self) {
        let mut state = self.shared.state.borrow_mut();
        let now = time::Instant::now();
        let wait = state.pace.wait(0, now);
        let none_waits = state.waiting.is_empty() && state.waiting_alone.is_empty();
        let at = now + wait;
        let soon_enough = at + Self::LOOK_SLACK;
        let is_looked_for = state.looked_at.is_some_and(|at| at <= soon_enough);
        if is_looked_for || none_waits || wait.is_zero() {
            return;
        }
        state.looked_at = Some(at);
        drop(state);
        let shared = rc::Rc::downgrade(&self.shared);
        compio::runtime::spawn(async move {
            compio::time::sleep_until(at).await;
            if let Some(shared) = shared.upgrade() {
                let gate = Self { shared };
                // An earlier look, for a higher rate, may have taken the place of this one.
                let mut state = gate.shared.state.borrow_mut();
                state.looked_at = state.looked_at.filter(|looked_at| *looked_at > at);
                drop(state);
                gate.pump();
            }
        })
        .detach();
    }

    /// Lets waiting requests through as long as there is room.
    fn pump(&self) {
        self.shed_late();
        self.shed_limited();
        loop {
            let next = self.shared.state.borrow_mut().next();
            let Some((waiter, alone)) = next else {
                break;
            };
            let permit = Permit::new(self.clone(), waiter.route, alone, time::Instant::now());
            // A waiter that has gone gives its permit back, which lets the next one through.
            let _ = waiter.sender.send(Ok(permit));
        }
        self.await_turn();
    }

    pub(crate) fn answered(&self, route: u64, latency: time::Duration) {
        let mut state = self.shared.state.borrow_mut();
        state.limit.answer(latency);
        state.runtimes.add(route, latency);
    }

    pub(crate) fn shed(&self) {
        self.shared.state.borrow_mut().limit.shed();
    }

    pub(crate) fn release(&self, alone: bool) {
        let mut state = self.shared.state.borrow_mut();
        state.running = state.running.saturating_sub(1);
        if alone {
            state.alone = false;
        }
        drop(state);
        self.pump();
    }
}

enum Entered {
    Now(Permit),
    Later(oneshot::Receiver<Result<Permit, Refusal>>),
}
