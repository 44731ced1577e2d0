//! Usual runtimes of requests, by route.

use std::time;

/// Usual runtimes of requests at a backend server, by route.
///
/// The runtimes within a service differ widely; with a single mean, short requests would be refused as if
/// they were long.
#[derive(Debug, Default)]
pub(crate) struct Runtimes {
    /// Sorted by route.
    routes: Vec<Usual>,
}

/// Usual runtime of the requests of a route.
#[derive(Debug, Clone, Copy)]
struct Usual {
    route: u64,
    /// Mean in milliseconds.
    mean: f64,
    /// When it was last learned, or a trial of it began.
    learned: time::Instant,
    /// Whether a request is run to see whether the mean still holds.
    on_trial: bool,
}

impl Runtimes {
    /// Maximum number of routes; a further route clears the table.
    const MAX_ROUTES: usize = 1_024;
    /// Weight of a new runtime in the moving average.
    const WEIGHT: f64 = 0.1;
    /// Shortest time without a run of a route after which its mean is tried.
    const TRIAL_AFTER: time::Duration = time::Duration::from_secs(1);

    /// Records that a request of `route` ran for `runtime`.
    pub(crate) fn add(&mut self, route: u64, runtime: time::Duration, now: time::Instant) {
        let millis = runtime.as_secs_f64() * 1_000.0;
        let first = Usual {
            route,
            mean: millis,
            learned: now,
            on_trial: false,
        };
        match self.find(route) {
            Ok(index) => self.routes[index].learn(millis, now),
            Err(_) if self.routes.len() >= Self::MAX_ROUTES => self.routes = vec![first],
            Err(index) => self.routes.insert(index, first),
        }
    }

    /// Usual runtime of requests of `route`; zero before the first one.
    pub(crate) fn expected(&self, route: u64) -> time::Duration {
        let index = self.find(route);
        let millis = index.map_or(0.0, |index| self.routes[index].mean);
        time::Duration::from_secs_f64(millis / 1_000.0)
    }

    /// Whether a request of `route` may run to see whether the usual runtime still holds, as nothing was
    /// learned for longer than that; one in each such time.
    pub(crate) fn begin_trial(&mut self, route: u64, now: time::Instant) -> bool {
        let wait = self.expected(route).max(Self::TRIAL_AFTER);
        let Ok(index) = self.find(route) else {
            return true;
        };
        let usual = &mut self.routes[index];
        if now.saturating_duration_since(usual.learned) < wait {
            return false;
        }
        usual.learned = now;
        usual.on_trial = true;
        true
    }

    fn find(&self, route: u64) -> Result<usize, usize> {
        self.routes
            .binary_search_by_key(&route, |usual| usual.route)
    }
}

impl Usual {
    /// Learns a runtime; one on trial that is shorter replaces the mean.
    fn learn(&mut self, millis: f64, now: time::Instant) {
        let is_replaced = std::mem::take(&mut self.on_trial) && millis < self.mean;
        let weight = if is_replaced { 1.0 } else { Runtimes::WEIGHT };
        self.mean += (millis - self.mean) * weight;
        self.learned = now;
    }
}
