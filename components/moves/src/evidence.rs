//! Request counts of both versions of a move in one period.

use compact_str::CompactString;
use schema::moves as wire;

use crate::Counts;

/// Request counts of the old and the new version on one route over the same time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Pair {
    /// The old version.
    pub old: Counts,
    /// The new version.
    pub new: Counts,
}

impl Pair {
    /// Adds the requests of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.old.merge(&other.old);
        self.new.merge(&other.new);
    }
}

/// Request counts of both versions of a move by route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Sorted by route.
    routes: Vec<(CompactString, Pair)>,
}

impl Evidence {
    /// Largest number of routes that are counted separately; requests on others count for the last of
    /// these.
    pub const MAX_ROUTES: usize = 256;

    /// Whether there are no counts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Routes and their counts, sorted by route.
    #[must_use]
    pub fn routes(&self) -> &[(CompactString, Pair)] {
        &self.routes
    }

    /// The counts of `route`, added if missing.
    pub fn route(&mut self, route: &str) -> &mut Pair {
        let position = self
            .routes
            .binary_search_by(|one| one.0.as_str().cmp(route));
        let index = match position {
            Ok(index) => index,
            Err(_) if self.routes.len() >= Self::MAX_ROUTES => Self::MAX_ROUTES - 1,
            Err(index) => {
                self.routes.insert(index, (route.into(), Pair::default()));
                index
            }
        };
        &mut self.routes[index].1
    }

    /// Adds the requests of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (route, pair) in &other.routes {
            self.route(route).merge(pair);
        }
    }

    /// The wire form.
    #[must_use]
    pub fn encode(&self, id: &str) -> wire::Evidence {
        let route = |(route, pair): &(CompactString, Pair)| wire::RouteCounts {
            route: route.to_string(),
            old: (!pair.old.is_empty()).then(|| pair.old.encode()),
            new: (!pair.new.is_empty()).then(|| pair.new.encode()),
        };
        wire::Evidence {
            r#move: id.to_owned(),
            routes: self.routes.iter().map(route).collect(),
        }
    }

    /// Reads the wire form.
    #[must_use]
    pub fn decode(wire: &wire::Evidence) -> Self {
        let mut evidence = Self::default();
        for one in &wire.routes {
            let counts = |counts: &Option<wire::Counts>| {
                counts.as_ref().map(Counts::decode).unwrap_or_default()
            };
            let pair = Pair {
                old: counts(&one.old),
                new: counts(&one.new),
            };
            evidence.route(&one.route).merge(&pair);
        }
        evidence
    }
}
