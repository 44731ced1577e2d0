//! What nodes saw of a move.

use compact_str::CompactString;
use schema::moves as wire;

units::record! { eq:
    /// What was seen on one route.
    #[derive(Default)]
    pub struct Route {
        /// Its name.
        pub name: CompactString,
        /// Requests to the new version.
        pub requests: u64,
        /// Of these, such as failed.
        pub failures: u64,
        /// Of these, such as took far longer than usual.
        pub slow: u64,
        /// Requests to all other versions.
        pub base_requests: u64,
        /// Of these, such as failed.
        pub base_failures: u64,
    }

    /// What was seen of a move, by route.
    #[derive(Default)]
    pub struct Sight {
        /// Sorted by name.
        routes: Vec<Route>,
    }
}

impl Sight {
    /// The routes, sorted by name.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The route called `name`, without requests where it is new.
    pub fn route(&mut self, name: &str) -> &mut Route {
        let place = self
            .routes
            .binary_search_by(|one| one.name.as_str().cmp(name));
        let place = place.unwrap_or_else(|place| {
            let route = Route {
                name: name.into(),
                ..Route::default()
            };
            self.routes.insert(place, route);
            place
        });
        &mut self.routes[place]
    }

    /// Adds what another node saw.
    pub fn add(&mut self, other: &Self) {
        for seen in &other.routes {
            let route = self.route(&seen.name);
            route.requests += seen.requests;
            route.failures += seen.failures;
            route.slow += seen.slow;
            route.base_requests += seen.base_requests;
            route.base_failures += seen.base_failures;
        }
    }

    /// Requests to the new version.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.routes.iter().map(|route| route.requests).sum()
    }

    pub(crate) fn encode(&self) -> Vec<wire::CanaryRoute> {
        let routes = self.routes.iter().map(|route| wire::CanaryRoute {
            route: route.name.to_string(),
            requests: route.requests,
            failures: route.failures,
            slow: route.slow,
            base_requests: route.base_requests,
            base_failures: route.base_failures,
        });
        routes.collect()
    }

    pub(crate) fn decode(routes: &[wire::CanaryRoute]) -> Self {
        let mut sight = Self::default();
        for seen in routes {
            *sight.route(&seen.route) = Route {
                name: seen.route.as_str().into(),
                requests: seen.requests,
                failures: seen.failures,
                slow: seen.slow,
                base_requests: seen.base_requests,
                base_failures: seen.base_failures,
            };
        }
        sight
    }
}
