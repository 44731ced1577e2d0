//! Usual runtimes of requests, by route.

use std::time;

/// Usual runtimes of requests at a backend server, by route.
///
/// The runtimes within a service differ widely; with a single mean, short requests would be refused as if
/// they were long.
#[derive(Debug, Default)]
pub(crate) struct Runtimes {
    /// Mean runtime in milliseconds by route, sorted by route.
    routes: Vec<(u64, f64)>,
}

impl Runtimes {
    /// Maximum number of routes; a further route clears the table.
    const MAX_ROUTES: usize = 1_024;
    /// Weight of a new runtime in the moving average.
    const WEIGHT: f64 = 0.1;

    /// Records that a request of `route` ran for `runtime`.
    pub(crate) fn add(&mut self, route: u64, runtime: time::Duration) {
        let millis = runtime.as_secs_f64() * 1_000.0;
        match self.routes.binary_search_by_key(&route, |entry| entry.0) {
            Ok(index) => {
                let mean = &mut self.routes[index].1;
                *mean += (millis - *mean) * Self::WEIGHT;
            }
            Err(_) if self.routes.len() >= Self::MAX_ROUTES => self.routes = vec![(route, millis)],
            Err(index) => self.routes.insert(index, (route, millis)),
        }
    }

    /// Usual runtime of requests of `route`; zero before the first one.
    pub(crate) fn expected(&self, route: u64) -> time::Duration {
        let index = self.routes.binary_search_by_key(&route, |entry| entry.0);
        let millis = index.map_or(0.0, |index| self.routes[index].1);
        time::Duration::from_secs_f64(millis / 1_000.0)
    }
}
