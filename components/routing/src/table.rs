//! Routes in the order in which requests look for them.

use std::rc;

use config::{Route, Snapshot};

/// Routes of one snapshot, sorted by path prefix and host for lookup.
#[derive(Debug, Clone, Default)]
pub struct Table {
    version: units::Version,
    routes: Vec<rc::Rc<Route>>,
}

impl Table {
    /// The routes of `snapshot`.
    #[must_use]
    pub fn new(snapshot: &Snapshot) -> Self {
        let mut routes: Vec<_> = snapshot.routes().iter().cloned().map(rc::Rc::new).collect();
        routes.sort_by(|one, other| Self::key(one).cmp(&Self::key(other)));
        Self {
            version: snapshot.version(),
            routes,
        }
    }

    /// Version of the snapshot.
    #[must_use]
    pub fn version(&self) -> units::Version {
        self.version
    }

    /// The route with the longest prefix that matches; among equal ones that which names the host.
    ///
    /// `host` is in lower case and without port. The cost grows with the segments of `path`, not
    /// with the number of routes.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&rc::Rc<Route>> {
        if let Some(route) = self.at(path, host) {
            return Some(route);
        }
        let slashes = path.bytes().enumerate().filter(|(_, byte)| *byte == b'/');
        // Prefixes with the slash and without it, from the longest to the shortest.
        slashes.rev().find_map(|(place, _)| {
            let with = self.at(&path[..=place], host);
            with.or_else(|| self.at(&path[..place], host))
        })
    }

    /// The route with exactly this prefix that names `host`, or any host.
    fn at(&self, prefix: &str, host: &str) -> Option<&rc::Rc<Route>> {
        let exact = self.search(prefix, host);
        exact.or_else(|| self.search(prefix, ""))
    }

    fn search(&self, prefix: &str, host: &str) -> Option<&rc::Rc<Route>> {
        let wanted = (prefix, host);
        let place = self
            .routes
            .binary_search_by(|one| Self::key(one).cmp(&wanted));
        place.ok().map(|place| &self.routes[place])
    }

    fn key(route: &Route) -> (&str, &str) {
        (route.path_prefix.as_str(), route.host.as_str())
    }
}
