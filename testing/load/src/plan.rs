//! Open-loop plans of calls, drawn from a seed.

use std::time;

use compact_str::{CompactString, format_compact};
use rand::{Rng, SeedableRng, rngs};

use crate::caller::{Call, Verb};

units::record! {
    /// The traffic of one phase.
    pub struct Mix {
        /// Name of the phase; it is part of each call's id.
        pub name: CompactString,
        /// Calls a second.
        pub rate: units::Rate,
        /// Length of the phase.
        pub length: units::Period,
        /// Host of every call.
        pub host: CompactString,
        /// Path prefixes, used in turn.
        pub paths: Vec<CompactString>,
        /// Share of the calls that are not idempotent.
        pub posts: units::Share,
        /// Share of those that carry an idempotency key.
        pub keyed: units::Share,
        /// Largest body of an answer, in bytes.
        pub answer_bytes: usize,
        /// Requests in the phase that crash the backend server that runs them.
        pub crashes: usize,
        /// Longest wait for an answer.
        pub patience: units::Period,
    }

    /// A call and the time at which it is due.
    pub struct Planned {
        /// Time since the start of the plan.
        pub at: time::Duration,
        /// The call.
        pub call: Call,
    }
}

impl Mix {
    /// Idempotent calls with small answers.
    #[must_use]
    pub fn reads(name: &str, rate: f64, length: units::Period, host: &str, path: &str) -> Self {
        Self {
            name: name.into(),
            rate: units::Rate(rate),
            length,
            host: host.into(),
            paths: vec![path.into()],
            posts: units::Share::NONE,
            keyed: units::Share::NONE,
            answer_bytes: 256,
            crashes: 0,
            patience: units::Period::from_secs(5),
        }
    }

    /// Number of calls.
    #[must_use]
    pub fn count(&self) -> usize {
        // Plans have far fewer calls than 2^52.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let count = (self.rate.0 * self.length.0.as_secs_f64()) as usize;
        count
    }

    /// The calls, evenly spaced; the same seed gives the same plan.
    #[must_use]
    pub fn plan(&self, seed: u64) -> Vec<Planned> {
        let mut random = rngs::StdRng::seed_from_u64(seed);
        let count = self.count();
        let mut plan = Vec::with_capacity(count);
        for number in 0..count {
            let at = self.length.0.mul_f64(number as f64 / count as f64);
            let call = self.draw(&mut random, seed, number);
            plan.push(Planned { at, call });
        }
        self.plant_crashes(&mut random, &mut plan);
        plan
    }

    fn draw(&self, random: &mut rngs::StdRng, seed: u64, number: usize) -> Call {
        let id = format_compact!("{}-{seed}-{number}", self.name);
        let prefix = &self.paths[number % self.paths.len()];
        let path = format_compact!("{prefix}/{number}");
        let mut call = Call::get(id.clone(), &self.host, &path);
        call.answer_bytes = random.random_range(0..=self.answer_bytes);
        call.patience = self.patience;
        if random.random_bool(self.posts.as_fraction()) {
            call.verb = Verb::Post;
            call.body_bytes = random.random_range(1..=self.answer_bytes.max(1));
            let keyed = random.random_bool(self.keyed.as_fraction());
            call.key = keyed.then(|| format_compact!("key-{id}"));
        }
        call
    }

    /// Makes calls in the middle half of the plan crash their backend server.
    fn plant_crashes(&self, random: &mut rngs::StdRng, plan: &mut [Planned]) {
        let (first, last) = (plan.len() / 4, plan.len() * 3 / 4);
        if first >= last {
            return;
        }
        for _ in 0..self.crashes {
            plan[random.random_range(first..last)].call.crash = true;
        }
    }
}
