//! What a gate knows and counts.

use std::time;

use futures_channel::oneshot;
use membership::Phase;

use super::{Counts, Gate};
use crate::runtimes::Runtimes;
use crate::waiting::Waiting;
use crate::{Announced, Ask, Crowd, Limit, Pace, Permit, Reason, Refusal, Settings, Urgency};

/// What a gate knows and counts.
pub(super) struct State {
    pub(super) announced: Option<Announced>,
    /// Until when that counts.
    pub(super) until: Option<time::Instant>,
    pub(super) limit: Limit,
    pub(super) pace: Pace,
    /// Number of the start of the backend server that the pace is of.
    pub(super) paced: Option<u64>,
    pub(super) runtimes: Runtimes,
    pub(super) running: usize,
    /// A request runs alone, or waits for the others to end so that it can.
    pub(super) alone: bool,
    pub(super) waiting: Waiting<Waiter>,
    /// Requests that have to run alone, in the order of their arrival.
    pub(super) waiting_alone: std::collections::VecDeque<Waiter>,
    pub(super) stopping: bool,
    /// When a task looks for the next turn.
    pub(super) looked_at: Option<time::Instant>,
    pub(super) counts: Counts,
}

/// Who waits for permission to run.
pub(super) struct Waiter {
    /// Hash of the route's name.
    pub(super) route: u64,
    pub(super) sender: oneshot::Sender<Result<Permit, Refusal>>,
}

impl State {
    /// The backend server that is there is the start `instance`; a new one has named nothing yet.
    pub(super) fn know(&mut self, instance: u64, now: time::Instant) {
        if self.paced != Some(instance) {
            self.paced = Some(instance);
            self.pace = Pace::new(now);
        }
    }

    pub(super) fn check_phase(&mut self, ask: &Ask, now: time::Instant) -> Result<(), Refusal> {
        let reason = match &self.announced {
            _ if self.stopping => Reason::Stopping,
            _ if self.has_expired(now) => Reason::NoBackend,
            None => Reason::NoBackend,
            Some(one) if !ask.is_for(one) => Reason::Mismatch,
            Some(one) if one.backend.phase == Phase::Starting => Reason::Starting,
            Some(one) if one.backend.phase == Phase::Draining => Reason::Draining,
            Some(_) => return Ok(()),
        };
        self.counts.refused_phase += 1;
        Err(Refusal::new(reason, Gate::PHASE_WAIT))
    }

    fn has_expired(&self, now: time::Instant) -> bool {
        self.until.is_some_and(|until| now >= until)
    }

    /// Refuses what cannot be finished by its deadline.
    pub(super) fn check_time(&mut self, ask: &Ask, now: time::Instant) -> Result<(), Refusal> {
        let left = ask.deadline.saturating_duration_since(now);
        let wait = if self.has_place(ask.alone) {
            time::Duration::ZERO
        } else {
            self.expected_wait(&self.urgency(ask), now)
        };
        // Half of the usual time: a refusal should be right far more often than not.
        let needed = wait + self.runtimes.expected(ask.route) / 2;
        if left.is_zero() || needed > left {
            self.counts.refused_late += 1;
            return Err(self.refuse(Reason::Late, ask.route, wait));
        }
        Ok(())
    }

    /// Refuses what gets no turn in time, by the rate that the backend server has named.
    pub(super) fn check_turn(
        &mut self,
        ask: &Ask,
        longest: time::Duration,
        now: time::Instant,
    ) -> Result<(), Refusal> {
        if self.pace.rate().is_none() {
            return Ok(());
        }
        let urgency = self.urgency(ask);
        let ahead = self.waiting.ahead(&urgency, now);
        let wait = self.pace.wait(ahead, now);
        if is_in_turn(&urgency, wait, longest, now) {
            return Ok(());
        }
        self.counts.refused_limited += 1;
        Err(self.limit_rate(ask.route, wait, now))
    }

    /// Takes out those that get no turn in time.
    pub(super) fn shed_limited(
        &mut self,
        longest: time::Duration,
        now: time::Instant,
    ) -> Vec<(Waiter, Refusal)> {
        if self.pace.rate().is_none() {
            return Vec::new();
        }
        let pace = &self.pace;
        let fits =
            |urgency: &Urgency, ahead| is_in_turn(urgency, pace.wait(ahead, now), longest, now);
        let shed = self.waiting.shed_unless(now, fits);
        self.counts.refused_limited += shed.len() as u64;
        let wait = self.pace.wait(self.waiting.len(), now);
        let refusals = shed.into_iter();
        refusals
            .map(|waiter| {
                let refusal = self.limit_rate(waiter.route, wait, now);
                (waiter, refusal)
            })
            .collect()
    }

    /// A refusal for the rate, with the turn after which its sender is welcome.
    fn limit_rate(&mut self, route: u64, wait: time::Duration, now: time::Instant) -> Refusal {
        let ahead = self.waiting.len();
        let turn = self.pace.promise(ahead, now).unwrap_or(wait);
        Refusal::crowded(Reason::Limited, turn, self.crowd(route, wait))
    }

    /// A refusal of a request of `route` for want of room, for which it would have to `wait`.
    pub(super) fn refuse(&self, reason: Reason, route: u64, wait: time::Duration) -> Refusal {
        Refusal::crowded(reason, self.retry_after(), self.crowd(route, wait))
    }

    /// What stands in the way of a request of `route`, which would have to `wait`.
    fn crowd(&self, route: u64, wait: time::Duration) -> Crowd {
        Crowd {
            running: self.running,
            waiting: self.waiting.len() + self.waiting_alone.len(),
            limit: self.limit.current(),
            wait,
            runtime: self.runtimes.expected(route),
        }
    }

    /// A refusal of a waiting request of `route`, which would now have to wait behind all others.
    pub(super) fn turn_away(&self, reason: Reason, route: u64) -> Refusal {
        self.refuse(reason, route, self.wait_behind_all())
    }

    fn urgency(&self, ask: &Ask) -> Urgency {
        Urgency {
            priority: ask.priority,
            target: ask.target,
            deadline: ask.deadline,
            expected: self.runtimes.expected(ask.route),
        }
    }

    /// Wait of a request of this urgency.
    fn expected_wait(&self, urgency: &Urgency, now: time::Instant) -> time::Duration {
        self.wait_behind(self.waiting.ahead(urgency, now))
    }

    /// Time until room is expected for one that comes back behind all who wait, spread so that those
    /// who are refused together do not come back together.
    fn retry_after(&self) -> time::Duration {
        const SPREAD: std::ops::Range<f64> = 0.5..1.5;
        let spread = rand::random_range(SPREAD);
        self.wait_behind_all().mul_f64(spread)
    }

    fn wait_behind_all(&self) -> time::Duration {
        self.wait_behind(self.waiting.len())
    }

    fn wait_behind(&self, ahead: usize) -> time::Duration {
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let limit = u32::try_from(self.limit.current().max(1)).unwrap_or(u32::MAX);
        self.limit.latency().saturating_mul(ahead) / limit
    }

    /// Whether a request may go at once.
    pub(super) fn has_room(&self, alone: bool, now: time::Instant) -> bool {
        self.has_place(alone) && self.pace.is_open(now)
    }

    /// Whether a request has a slot, whatever the rate.
    fn has_place(&self, alone: bool) -> bool {
        if self.alone || !self.waiting_alone.is_empty() {
            return false;
        }
        if alone {
            return self.running == 0;
        }
        self.running < self.limit.current() && self.waiting.is_empty()
    }

    /// Counts a request as running.
    pub(super) fn take(&mut self, alone: bool) {
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
        self.pace.take(time::Instant::now());
        self.alone |= alone;
        self.counts.admitted += 1;
        self.counts.admitted_alone += u64::from(alone);
    }

    pub(super) fn enqueue(
        &mut self,
        ask: &Ask,
        waiter: Waiter,
        settings: &Settings,
        now: time::Instant,
    ) -> Option<Waiter> {
        self.forget_cancelled();
        let evicted = if ask.alone {
            let full = self.waiting_alone.len() >= Gate::ALONE_LIMIT;
            if full {
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
            let urgency = self.urgency(ask);
            self.waiting.push(&ask.caller, urgency, waiter, limit, now)
        };
        self.counts.queued += 1;
        self.counts.refused_full += u64::from(evicted.is_some());
        evicted
    }

    /// Takes all who wait, when the backend server no longer runs what they wait for.
    pub(super) fn drain_waiting(&mut self) -> Vec<Waiter> {
        let mut drained: Vec<_> = self.waiting_alone.drain(..).collect();
        while let Some(waiter) = self.waiting.pop(time::Instant::now()) {
            drained.push(waiter);
        }
        self.counts.refused_phase += drained.len() as u64;
        drained
    }

    pub(super) fn forget_cancelled(&mut self) {
        self.waiting.retain(|waiter| !waiter.sender.is_canceled());
        self.waiting_alone
            .retain(|waiter| !waiter.sender.is_canceled());
    }

    /// Takes the next waiter that may run, with whether it runs alone.
    ///
    /// Those that have to run alone go first: while one waits, no other request starts.
    pub(super) fn next(&mut self) -> Option<(Waiter, bool)> {
        let now = time::Instant::now();
        let is_there = self.announced.is_some() && !self.has_expired(now);
        if self.alone || !is_there || !self.pace.is_open(now) {
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
            self.take(true);
            return Some((waiter, true));
        }
        if self.running >= self.limit.current() {
            return None;
        }
        loop {
            let waiter = self.waiting.pop(now)?;
            if !waiter.sender.is_canceled() {
                self.take(false);
                return Some((waiter, false));
            }
        }
    }
}

/// Whether a request that waits so long for its turn can still be answered when that is wanted; one that
/// waits longer leaves its turn to others, and may find room elsewhere.
fn is_in_turn(
    urgency: &Urgency,
    wait: time::Duration,
    longest: time::Duration,
    now: time::Instant,
) -> bool {
    wait.is_zero() || (wait <= longest && now + wait + urgency.expected <= urgency.target)
}
