//! What requests to the two versions of a move showed in one period.

use compact_str::CompactString;
use schema::moves as wire;

use crate::Counts;

/// What requests on one route showed, old version and new version over the same time.
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

/// What requests to the two versions of a move showed, by route; sorted by route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    routes: Vec<(CompactString, Pair)>,
}

impl Evidence {
    /// Most routes that one move tells apart; the rest count as the last of them.
    pub const ROUTES: usize = 256;

    /// Whether nothing is counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Routes and what they showed, sorted by route.
    #[must_use]
    pub fn routes(&self) -> &[(CompactString, Pair)] {
        &self.routes
    }

    /// What `route` showed, to be added to.
    pub fn route(&mut self, route: &str) -> &mut Pair {
        let found = self
            .routes
            .binary_search_by(|one| one.0.as_str().cmp(route));
        let place = match found {
            Ok(place) => place,
            Err(_) if self.routes.len() >= Self::ROUTES => Self::ROUTES - 1,
            Err(place) => {
                self.routes.insert(place, (route.into(), Pair::default()));
                place
            }
        };
        &mut self.routes[place].1
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
