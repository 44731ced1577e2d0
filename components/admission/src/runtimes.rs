//! How long requests usually run, by route.

use std::time;

/// How long requests usually run at a backend server, by route.
///
/// A service runs requests of very different length; one mean for all of them would refuse the
/// short ones as if they were long.
#[derive(Debug, Default)]
pub(crate) struct Runtimes {
    /// Routes and milliseconds, sorted by route.
    routes: Vec<(u64, f64)>,
}

impl Runtimes {
    /// Most routes that are remembered; the memory starts anew beyond that.
    const ROUTES: usize = 1_024;
    /// Part of a new runtime in the average.
    const PART: f64 = 0.1;

    /// A request of `route` ran for `runtime`.
    pub(crate) fn add(&mut self, route: u64, runtime: time::Duration) {
        let millis = runtime.as_secs_f64() * 1_000.0;
        match self.routes.binary_search_by_key(&route, |one| one.0) {
            Ok(place) => {
                let held = &mut self.routes[place].1;
                *held += (millis - *held) * Self::PART;
            }
            Err(_) if self.routes.len() >= Self::ROUTES => self.routes = vec![(route, millis)],
            Err(place) => self.routes.insert(place, (route, millis)),
        }
    }

    /// Time that requests of `route` usually run; zero before the first one.
    pub(crate) fn expected(&self, route: u64) -> time::Duration {
        let place = self.routes.binary_search_by_key(&route, |one| one.0);
        let millis = place.map_or(0.0, |place| self.routes[place].1);
        time::Duration::from_secs_f64(millis / 1_000.0)
    }
}
