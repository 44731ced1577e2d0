//! Work left at a backend server, from the runtimes of what it has run.

use std::cmp;
use std::collections::BinaryHeap;
use std::time;

use crate::Histogram;

/// Work left at a backend server: what runs with its age, and the distribution of runtimes by route.
#[derive(Debug, Clone, Default)]
pub struct Work {
    /// Distributions of runtimes, sorted by route.
    routes: Vec<(u64, Histogram)>,
    /// Routes and start times of the running requests.
    running: Vec<(u64, time::Instant)>,
}

units::record! { eq:
    /// Work left at a backend server, as its owner reports it with an answer.
    #[derive(Copy)]
    pub struct Report {
        /// Time until a new request would start.
        pub start: time::Duration,
        /// Typical runtime of the route of the answer; zero before the first run.
        pub typical: time::Duration,
        /// Number of recent runs behind the typical runtime.
        pub runs: u32,
    }
}

impl Work {
    /// Maximum number of routes; a further route clears the table.
    const MAX_ROUTES: usize = 256;

    /// Records that a request of `route` has started.
    pub fn start(&mut self, route: u64, now: time::Instant) {
        self.running.push((route, now));
    }

    /// Records that the request of `route` that started at `started` no longer runs.
    pub fn end(&mut self, route: u64, started: time::Instant) {
        let found = self.running.iter().position(|run| *run == (route, started));
        if let Some(index) = found {
            self.running.swap_remove(index);
        }
    }

    /// Records that a request of `route` has run for `runtime`.
    pub fn add(&mut self, route: u64, runtime: time::Duration) {
        match self.find(route) {
            Ok(index) => self.routes[index].1.add(runtime),
            Err(_) if self.routes.len() >= Self::MAX_ROUTES => self.routes.clear(),
            Err(index) => {
                let mut histogram = Histogram::default();
                histogram.add(runtime);
                self.routes.insert(index, (route, histogram));
            }
        }
    }

    /// Returns the report with an answer of `route`, with `slots` and the routes of the `waiting` requests
    /// that are ahead of a new one.
    #[must_use]
    pub fn report(
        &self,
        route: u64,
        slots: usize,
        waiting: impl Iterator<Item = u64>,
        now: time::Instant,
    ) -> Report {
        let histogram = self.histogram(route);
        Report {
            start: self.time_to_start(slots, waiting, now),
            typical: histogram.map(Histogram::typical).unwrap_or_default(),
            runs: histogram.map_or(0, Histogram::runs),
        }
    }

    /// Returns the expected time until a slot is free for a new request: each request takes the slot that
    /// is free first.
    fn time_to_start(
        &self,
        slots: usize,
        waiting: impl Iterator<Item = u64>,
        now: time::Instant,
    ) -> time::Duration {
        let rests = self
            .running
            .iter()
            .map(|run| cmp::Reverse(self.rest(run, now)));
        let mut ends: BinaryHeap<_> = rests.collect();
        while ends.len() < slots.max(1) {
            ends.push(cmp::Reverse(time::Duration::ZERO));
        }
        // More may run than the limit allows after it has been lowered.
        while ends.len() > slots.max(1) {
            ends.pop();
        }
        for route in waiting {
            if let Some(mut first) = ends.peek_mut() {
                first.0 += self.mean(route);
            }
        }
        ends.peek().map(|first| first.0).unwrap_or_default()
    }

    fn rest(&self, run: &(u64, time::Instant), now: time::Instant) -> time::Duration {
        let age = now.saturating_duration_since(run.1);
        let histogram = self.histogram(run.0);
        histogram.map_or(time::Duration::ZERO, |one| one.rest(age))
    }

    fn mean(&self, route: u64) -> time::Duration {
        let histogram = self.histogram(route);
        histogram.map_or(time::Duration::ZERO, |one| one.rest(time::Duration::ZERO))
    }

    fn histogram(&self, route: u64) -> Option<&Histogram> {
        let index = self.find(route).ok()?;
        Some(&self.routes[index].1)
    }

    fn find(&self, route: u64) -> Result<usize, usize> {
        self.routes.binary_search_by_key(&route, |entry| entry.0)
    }
}
