//! Simulation of one move in virtual time.

use std::time;

use moves::{Action, Analysis, Facts, Fleet, Judge, Policy, Settings, shares};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::outcome::{End, Outcome};
use crate::traffic::{BACKENDS, CENTRES, SLOTS, Traffic, draw_requests};
use crate::version::Version;

/// Interval between reports, and between decisions.
const PERIOD: time::Duration = time::Duration::from_millis(500);
/// Time for a change of the configuration or of the withheld versions to reach every node.
const PROPAGATION_TIME: time::Duration = time::Duration::from_millis(300);
/// Time after the deadline from which a move counts as not ended.
const MAX_OVERRUN: time::Duration = time::Duration::from_secs(120);

/// Simulation of one move in virtual time.
struct Simulation {
    version: Version,
    policy: Policy,
    /// Judges of the data centres, which continue while the runner is paused.
    local_judges: Vec<Judge>,
    random: StdRng,
    begin: time::Instant,
    deadline: time::Instant,
    /// Faults: a pause of the runner and an outage of the platform.
    pause: Window,
    outage: Window,
    /// Share in force on the nodes.
    share: units::Share,
    first_share: Option<time::Instant>,
    withheld: Option<(time::Instant, String)>,
    /// Factor on the default traffic and slots.
    scale: f64,
    outcome: Outcome,
}

/// Time span of a fault.
#[derive(Clone, Copy)]
struct Window {
    from: time::Instant,
    to: time::Instant,
}

impl Window {
    fn draw(begin: time::Instant, duration: time::Duration, random: &mut StdRng) -> Self {
        let from = begin + duration.mul_f64(random.random());
        // Half of the moves have no fault of this kind.
        let length = if random.random() {
            random.random_range(0..20)
        } else {
            0
        };
        Self {
            from,
            to: from + time::Duration::from_secs(length),
        }
    }

    fn contains(self, now: time::Instant) -> bool {
        now >= self.from && now < self.to
    }
}

/// Setup shared by all moves of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Setup {
    pub(crate) analysis: Analysis,
    /// Duration of every move; if unset, drawn from 3 to 10 minutes.
    pub(crate) duration: Option<time::Duration>,
    /// Factor on the default traffic and slots; if unset, drawn from 0.1 to 2.
    pub(crate) scale: Option<f64>,
}

/// Runs one move of `version` with the faults and the traffic drawn from `seed`.
pub(crate) fn run(setup: Setup, version: Version, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(setup, version, seed);
    let mut now = simulation.begin;
    while simulation.outcome.end.is_none() && now < simulation.deadline + MAX_OVERRUN {
        now += PERIOD;
        simulation.advance(now);
    }
    simulation.outcome
}

impl Simulation {
    fn new(setup: Setup, version: Version, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let settings = Settings {
            analysis: setup.analysis,
            ..Settings::default()
        };
        let begin = time::Instant::now();
        let drawn_duration = time::Duration::from_secs(random.random_range(180..600));
        let duration = setup.duration.unwrap_or(drawn_duration);
        let deadline = begin + duration;
        let alpha = settings.alpha() / 2.0;
        let policy = Policy::new(&settings, alpha, deadline, 0, begin, begin);
        // The number of periods is far below 2^32.
        let horizon = u32::try_from(duration.as_millis() / PERIOD.as_millis()).unwrap_or(u32::MAX);
        let drawn_scale = 10.0_f64.powf(random.random_range(-1.0..0.3));
        let local_judges = CENTRES.map(|_| Judge::new(&settings, alpha / 2.0, horizon, begin));
        Self {
            version,
            policy,
            local_judges: local_judges.into(),
            pause: Window::draw(begin, duration, &mut random),
            outage: Window::draw(begin, duration, &mut random),
            scale: setup.scale.unwrap_or(drawn_scale),
            random,
            begin,
            deadline,
            share: units::Share::NONE,
            first_share: None,
            withheld: None,
            outcome: Outcome::default(),
        }
    }

    fn advance(&mut self, now: time::Instant) {
        self.run_traffic(now);
        if !self.pause.contains(now) {
            self.absorb_crashes(now);
            self.decide(now);
        }
        if let Some((since, _)) = &self.withheld
            && now >= *since + PROPAGATION_TIME
        {
            self.share = units::Share::NONE;
        }
    }

    fn run_traffic(&mut self, now: time::Instant) {
        let running = self
            .first_share
            .map_or(time::Duration::ZERO, |first| now - first);
        let traffic = Traffic {
            version: self.version,
            share: self.share.as_fraction(),
            focus: shares::focus(self.share, BACKENDS),
            running,
            scale: self.scale,
        };
        for (index, centre) in CENTRES.into_iter().enumerate() {
            let period = draw_requests(traffic, PERIOD, &mut self.random);
            self.outcome.requests += period.requests;
            self.outcome.harmed += period.harmed;
            self.local_judges[index].absorb(centre, &period.evidence, now);
            if let Some(alarm) = self.local_judges[index].alarm() {
                let alarm = alarm.to_string();
                self.withhold(now, alarm);
            }
            if !self.pause.contains(now) {
                self.policy
                    .judge_mut()
                    .absorb(centre, &period.evidence, now);
            }
        }
    }

    /// Adds the periodic crashes of a crashing version to the evidence.
    fn absorb_crashes(&mut self, now: time::Instant) {
        let fleet = |crashed| Fleet {
            ready: u32::try_from(BACKENDS).unwrap_or(u32::MAX),
            crashed,
        };
        let crashed = match (self.version, self.first_share) {
            (Version::Crashes(every), Some(first)) => {
                let ticks = (now - first).as_millis() / PERIOD.as_millis();
                let every = u128::from(every) * 1_000 / PERIOD.as_millis();
                u32::from(ticks > 0 && ticks.is_multiple_of(every))
            }
            _ => 0,
        };
        let judge = self.policy.judge_mut();
        judge.absorb_fleets(fleet(0), fleet(crashed), PERIOD);
    }

    fn decide(&mut self, now: time::Instant) {
        if let Some((_, reason)) = self.withheld.clone() {
            self.end(End::TakenBack, reason, now);
            return;
        }
        let backends = f64::from(u32::try_from(BACKENDS).unwrap_or(u32::MAX));
        // Between 8 and 160.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let slots = (SLOTS * self.scale * backends).ceil() as u32;
        let facts = Facts { slots };
        match self.policy.decide(now, facts) {
            Action::Hold(_) => {}
            Action::Step(phase) if !self.outage.contains(now) => self.step(phase, now),
            Action::Step(_) => {}
            Action::TakeBack(reason) => {
                self.withhold(now, reason.to_string());
                self.end(End::TakenBack, reason.to_string(), now);
            }
            Action::Done => self.end(End::Done, String::new(), now),
        }
    }

    fn step(&mut self, phase: usize, now: time::Instant) {
        let share = self.policy.share(phase);
        if self.withheld.is_some() && share > self.share {
            self.outcome.violations += 1;
        }
        let is_first = self.first_share.is_none();
        self.policy.begin(phase, now);
        for judge in &mut self.local_judges {
            judge.begin_step(is_first, share, now);
        }
        self.first_share.get_or_insert(now);
        self.share = share;
        self.outcome.highest_share = self.outcome.highest_share.max(share);
    }

    fn withhold(&mut self, now: time::Instant, reason: String) {
        if self.withheld.is_none() {
            self.withheld = Some((now, reason));
        }
    }

    /// Records the end unless the platform is down; the next decision then retries.
    fn end(&mut self, end: End, reason: String, now: time::Instant) {
        if self.outage.contains(now) {
            return;
        }
        if self.outcome.end.is_some() {
            self.outcome.violations += 1;
        }
        self.outcome.end = Some(end);
        self.outcome.reason = reason;
        self.outcome.in_time = now <= self.deadline;
    }
}
