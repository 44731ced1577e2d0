//! Lookup of routes by host and path.

use std::rc;

use config::{Route, Snapshot};

/// Routes of one snapshot, sorted by path prefix and host for lookup.
#[derive(Debug, Clone, Default)]
pub struct Table {
    version: units::Version,
    routes: Vec<rc::Rc<Route>>,
}

impl Table {
    /// Creates a table of the routes of `snapshot`.
    #[must_use]
    pub fn new(snapshot: &Snapshot) -> Self {
        let mut routes: Vec<_> = snapshot.routes().iter().cloned().map(rc::Rc::new).collect();
        routes.sort_by(|a, b| Self::key(a).cmp(&Self::key(b)));
        Self {
            version: snapshot.version(),
            routes,
        }
    }

    /// Returns the version of the snapshot.
    #[must_use]
    pub fn version(&self) -> units::Version {
        self.version
    }

    /// Finds the route with the longest matching prefix; of equal prefixes, the one that names the host.
    ///
    /// `host` is in lower case and without a port. The cost grows with the number of segments of `path`,
    /// not with the number of routes.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&rc::Rc<Route>> {
        if let Some(route) = self.find_exact(path, host) {
            return Some(route);
        }
        let slashes = path.bytes().enumerate().filter(|(_, byte)| *byte == b'/');
        // Tries each prefix with and without its trailing slash, from the longest to the shortest.
        slashes.rev().find_map(|(index, _)| {
            let with_slash = self.find_exact(&path[..=index], host);
            with_slash.or_else(|| self.find_exact(&path[..index], host))
        })
    }

    /// Finds the route with exactly this prefix that names `host`, or else any host.
    fn find_exact(&self, prefix: &str, host: &str) -> Option<&rc::Rc<Route>> {
        let for_host = self.search(prefix, host);
        for_host.or_else(|| self.search(prefix, ""))
    }

    fn search(&self, prefix: &str, host: &str) -> Option<&rc::Rc<Route>> {
        let wanted = (prefix, host);
        let index = self
            .routes
            .binary_search_by(|route| Self::key(route).cmp(&wanted));
        index.ok().map(|index| &self.routes[index])
    }

    fn key(route: &Route) -> (&str, &str) {
        (route.path_prefix.as_str(), route.host.as_str())
    }
}
