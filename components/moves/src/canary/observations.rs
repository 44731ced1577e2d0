//! Request counts that nodes collect during a move.

use compact_str::CompactString;
use schema::moves as wire;

units::record! { eq:
    /// Request counts on one route.
    #[derive(Default)]
    pub struct Route {
        /// Name of the route.
        pub name: CompactString,
        /// Requests to the new version.
        pub requests: u64,
        /// Failed requests to the new version.
        pub failures: u64,
        /// Requests to the new version that succeeded, and took far longer than the baseline latency.
        pub slow: u64,
        /// Requests to all other versions.
        pub base_requests: u64,
        /// Failed requests to all other versions.
        pub base_failures: u64,
        /// Requests to all other versions that succeeded, and took far longer than the baseline latency.
        pub base_slow: u64,
    }

    /// Request counts of a move, by route.
    #[derive(Default)]
    pub struct Observations {
        /// Sorted by name.
        routes: Vec<Route>,
    }
}

impl Route {
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.failures += other.failures;
        self.slow += other.slow;
        self.base_requests += other.base_requests;
        self.base_failures += other.base_failures;
        self.base_slow += other.base_slow;
    }
}

impl Observations {
    /// The routes, sorted by name.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The route called `name`, added without requests if it is missing.
    pub fn route(&mut self, name: &str) -> &mut Route {
        let index = self
            .routes
            .binary_search_by(|one| one.name.as_str().cmp(name));
        let index = index.unwrap_or_else(|index| {
            let route = Route {
                name: name.into(),
                ..Route::default()
            };
            self.routes.insert(index, route);
            index
        });
        &mut self.routes[index]
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        for counts in &other.routes {
            self.route(&counts.name).add(counts);
        }
    }

    /// Requests to the new version on all routes.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.routes.iter().map(|route| route.requests).sum()
    }

    /// The sums over all routes, without a name.
    #[must_use]
    pub fn total(&self) -> Route {
        let mut total = Route::default();
        for route in &self.routes {
            total.add(route);
        }
        total
    }

    pub(crate) fn encode(&self) -> Vec<wire::CanaryRoute> {
        let routes = self.routes.iter().map(|route| wire::CanaryRoute {
            route: route.name.to_string(),
            requests: route.requests,
            failures: route.failures,
            slow: route.slow,
            base_requests: route.base_requests,
            base_failures: route.base_failures,
            base_slow: route.base_slow,
        });
        routes.collect()
    }

    pub(crate) fn decode(routes: &[wire::CanaryRoute]) -> Self {
        let mut observations = Self::default();
        for counts in routes {
            *observations.route(&counts.route) = Route {
                name: counts.route.as_str().into(),
                requests: counts.requests,
                failures: counts.failures,
                slow: counts.slow,
                base_requests: counts.base_requests,
                base_failures: counts.base_failures,
                base_slow: counts.base_slow,
            };
        }
        observations
    }
}
