//! State of a gate.

use std::time;

use compact_str::CompactString;
use futures_channel::oneshot;
use membership::Phase;

use super::{Counts, Gate};
use crate::runtimes::Runtimes;
use crate::waiting::Waiting;
use crate::{
    Announced, Limit, Occupancy, Permit, RateLimiter, Reason, Refusal, Report, Request, Settings,
    Shares, Urgency, Warmup, Work,
};

/// State of a gate.
pub(super) struct State {
    pub(super) announced: Option<Announced>,
    /// Time at which the announcement expires.
    pub(super) expires: Option<time::Instant>,
    pub(super) limit: Limit,
    pub(super) rate_limiter: RateLimiter,
    /// Rate limit while the backend server warms up.
    pub(super) warmup: Warmup,
    /// Whether the data centre is evacuated.
    pub(super) evacuated: bool,
    /// Start of the backend server to which the rate limiter applies.
    pub(super) instance: Option<u64>,
    pub(super) runtimes: Runtimes,
    /// Work left at the backend server; only once a report was asked for.
    pub(super) work: Option<Box<Work>>,
    pub(super) shares: Shares,
    pub(super) running: usize,
    /// Whether a request runs alone, or waits for the others to end in order to run alone.
    pub(super) alone: bool,
    pub(super) waiting: Waiting<Waiter>,
    /// Queued requests that have to run alone, in the order of arrival.
    pub(super) waiting_alone: std::collections::VecDeque<Waiter>,
    pub(super) stopping: bool,
    /// Time at which a task wakes up for the next turn.
    pub(super) wakes_at: Option<time::Instant>,
    pub(super) counts: Counts,
}

/// Queued request.
pub(super) struct Waiter {
    /// Hash of the route's name.
    pub(super) route: u64,
    pub(super) workspace: CompactString,
    /// Whether the workspace was over its share when the request arrived.
    pub(super) over_share: bool,
    pub(super) sender: oneshot::Sender<Result<Permit, Refusal>>,
}

impl State {
    /// Resets the rate limiter when `instance` is a new start of the backend server.
    pub(super) fn track_instance(&mut self, instance: u64, now: time::Instant) {
        if self.instance != Some(instance) {
            self.instance = Some(instance);
            self.rate_limiter = RateLimiter::new(now);
        }
    }

    pub(super) fn check_phase(
        &mut self,
        request: &Request,
        now: time::Instant,
    ) -> Result<(), Refusal> {
        let reason = match &self.announced {
            _ if self.stopping => Reason::Stopping,
            _ if self.evacuated => Reason::Evacuated,
            _ if self.has_expired(now) => Reason::NoBackend,
            None => Reason::NoBackend,
            Some(one) if !request.matches(one) => Reason::Mismatch,
            Some(one) if one.backend.phase == Phase::Starting => Reason::Starting,
            Some(one) if one.backend.phase == Phase::Draining => Reason::Draining,
            Some(_) => return Ok(()),
        };
        self.counts.refused_phase += 1;
        Err(Refusal::new(reason, Gate::PHASE_RETRY_AFTER))
    }

    fn has_expired(&self, now: time::Instant) -> bool {
        self.expires.is_some_and(|expires| now >= expires)
    }

    /// Refuses a request that cannot finish by its deadline.
    pub(super) fn check_deadline(
        &mut self,
        request: &Request,
        now: time::Instant,
    ) -> Result<(), Refusal> {
        let left = request.deadline.saturating_duration_since(now);
        let wait = if self.has_slot(request.alone) {
            time::Duration::ZERO
        } else {
            self.expected_wait(&self.urgency(request), now)
        };
        // Half of the usual runtime, so that few requests are refused that would have finished in time.
        let needed = wait + self.runtimes.expected(request.route) / 2;
        if left.is_zero() || needed > left && !self.begin_trial(request, now) {
            self.counts.refused_late += 1;
            return Err(self.refuse(Reason::Late, request.route, wait));
        }
        Ok(())
    }

    /// Whether an idle backend server runs a request that is expected to be late: where all are refused,
    /// nothing is learned.
    fn begin_trial(&mut self, request: &Request, now: time::Instant) -> bool {
        let is_idle = self.running == 0 && self.waiting.is_empty();
        is_idle && self.has_slot(request.alone) && self.runtimes.begin_trial(request.route, now)
    }

    /// Refusal of a request of `route` for lack of capacity, with the expected `wait`.
    pub(super) fn refuse(&self, reason: Reason, route: u64, wait: time::Duration) -> Refusal {
        Refusal::with_occupancy(reason, self.retry_after(), self.occupancy(route, wait))
    }

    /// Occupancy at the refusal of a request of `route`, with the expected `wait`.
    pub(super) fn occupancy(&self, route: u64, wait: time::Duration) -> Occupancy {
        Occupancy {
            running: self.running,
            waiting: self.waiting.len() + self.waiting_alone.len(),
            limit: self.limit.current(),
            wait,
            runtime: self.runtimes.expected(route),
        }
    }

    /// Refusal of a queued request of `route`; a retry waits behind all others.
    pub(super) fn refuse_queued(&self, reason: Reason, route: u64) -> Refusal {
        self.refuse(reason, route, self.wait_behind_all())
    }

    pub(super) fn urgency(&self, request: &Request) -> Urgency {
        Urgency {
            priority: request.priority,
            target: request.target,
            deadline: request.deadline,
            expected: self.runtimes.expected(request.route),
            over_share: false,
        }
    }

    /// Expected wait of a request of this urgency.
    fn expected_wait(&self, urgency: &Urgency, now: time::Instant) -> time::Duration {
        self.wait_behind(self.waiting.ahead(urgency, now))
    }

    /// Expected wait of a retry behind all queued requests, with jitter so that requests refused together
    /// are not retried together.
    fn retry_after(&self) -> time::Duration {
        const JITTER: std::ops::Range<f64> = 0.5..1.5;
        let jitter = rand::random_range(JITTER);
        self.wait_behind_all().mul_f64(jitter)
    }

    fn wait_behind_all(&self) -> time::Duration {
        self.wait_behind(self.waiting.len())
    }

    fn wait_behind(&self, ahead: usize) -> time::Duration {
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let limit = u32::try_from(self.limit.current().max(1)).unwrap_or(u32::MAX);
        self.limit.latency().saturating_mul(ahead) / limit
    }

    /// Whether a request may run at once.
    pub(super) fn may_run(&self, alone: bool, now: time::Instant) -> bool {
        self.has_slot(alone) && self.turn_wait(0, now).is_zero()
    }

    /// Whether a slot is free for a request, regardless of the rate limit.
    fn has_slot(&self, alone: bool) -> bool {
        if self.alone || !self.waiting_alone.is_empty() {
            return false;
        }
        if alone {
            return self.running == 0;
        }
        self.running < self.limit.current() && self.waiting.is_empty()
    }

    /// Counts a request as running.
    pub(super) fn start(&mut self, alone: bool) {
        let slots = self
            .announced
            .as_ref()
            .map_or(0, |one| one.backend.slots as usize);
        if self.alone || (alone && self.running > 0) || self.running >= slots.max(1) {
            self.counts.violations += 1;
            log::error!(running = self.running, slots = slots, alone = alone;
                "invariant violated: a request runs above the limit");
        }
        self.running += 1;
        let now = time::Instant::now();
        self.rate_limiter.consume(now);
        self.warmup.consume(now);
        self.alone |= alone;
        self.counts.admitted += 1;
        self.counts.admitted_alone += u64::from(alone);
    }

    /// Counts the demand of an arriving request.
    pub(super) fn track_arrival(&mut self, request: &Request, now: time::Instant) {
        let expected = self.runtimes.expected(request.route);
        let slots = self.limit.current();
        self.shares.arrive(&request.workspace, expected, slots, now);
    }

    /// Whether a request of `workspace` that has to wait is over its share.
    pub(super) fn mark(&mut self, workspace: &CompactString) -> bool {
        let is_over = self.shares.mark(workspace);
        self.counts.over_share += u64::from(is_over);
        is_over
    }

    /// Records the start of a request of `route` and `workspace`.
    pub(super) fn track_start(
        &mut self,
        route: u64,
        workspace: &CompactString,
        now: time::Instant,
    ) {
        let expected = self.runtimes.expected(route);
        self.shares.serve(workspace, expected);
        if let Some(work) = &mut self.work {
            work.start(route, now);
        }
    }

    /// Report with an answer of `route`; only what can still be in time is ahead of a new request.
    pub(super) fn report(&mut self, route: u64, now: time::Instant) -> Report {
        let ahead = self.waiting.in_time(now);
        let slots = self.limit.current();
        let work = self.work.get_or_insert_default();
        work.report(route, slots, ahead.map(|waiter| waiter.route), now)
    }

    pub(super) fn enqueue(
        &mut self,
        request: &Request,
        waiter: Waiter,
        settings: &Settings,
        now: time::Instant,
    ) -> Option<Waiter> {
        self.remove_cancelled();
        let evicted = if request.alone {
            let is_full = self.waiting_alone.len() >= Gate::MAX_QUEUED_ALONE;
            if is_full {
                Some(waiter)
            } else {
                self.waiting_alone.push_back(waiter);
                None
            }
        } else {
            let slots = self
                .announced
                .as_ref()
                .map_or(1, |one| one.backend.slots.max(1));
            let limit = slots.saturating_mul(settings.queue_slots.max(1)) as usize;
            let urgency = Urgency {
                over_share: waiter.over_share,
                ..self.urgency(request)
            };
            self.waiting
                .push(&request.caller, urgency, waiter, limit, now)
        };
        self.counts.queued += 1;
        if let Some(evicted) = &evicted {
            self.counts.refused_over_share += u64::from(evicted.over_share);
            self.counts.refused_full += u64::from(!evicted.over_share);
        }
        evicted
    }

    /// Removes all queued requests when the backend server no longer runs them.
    pub(super) fn drain_waiting(&mut self) -> Vec<Waiter> {
        let mut drained: Vec<_> = self.waiting_alone.drain(..).collect();
        while let Some(waiter) = self.waiting.pop(time::Instant::now()) {
            drained.push(waiter);
        }
        self.counts.refused_phase += drained.len() as u64;
        drained
    }

    pub(super) fn remove_cancelled(&mut self) {
        self.waiting.retain(|waiter| !waiter.sender.is_canceled());
        self.waiting_alone
            .retain(|waiter| !waiter.sender.is_canceled());
    }

    /// Removes the next waiter that may run; the flag is set if the request runs alone.
    ///
    /// Requests that have to run alone are first: while one is queued, no other request starts.
    pub(super) fn pop_runnable(&mut self) -> Option<(Waiter, bool)> {
        let now = time::Instant::now();
        let is_available = self.announced.is_some() && !self.has_expired(now);
        if self.alone || !is_available || !self.turn_wait(0, now).is_zero() {
            return None;
        }
        while let Some(waiter) = self.waiting_alone.front() {
            if waiter.sender.is_canceled() {
                self.waiting_alone.pop_front();
                continue;
            }
            if self.running > 0 {
                return None;
            }
            let waiter = self.waiting_alone.pop_front()?;
            self.start(true);
            return Some((waiter, true));
        }
        if self.running >= self.limit.current() {
            return None;
        }
        loop {
            let waiter = self.waiting.pop(now)?;
            if !waiter.sender.is_canceled() {
                self.start(false);
                return Some((waiter, false));
            }
        }
    }
}
