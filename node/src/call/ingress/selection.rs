//! Choice of the backend server for an attempt.

use std::rc;
use std::time;

use compact_str::CompactString;
use config::Service;
use routing::{Endpoint, Group, Observer};

use super::trail::Trail;
use super::{Arrival, Dialect, Ingress, Problem, Reason, State, Target, hash_key};

/// The owner that runs a request with a key, and the owners that may have run it before.
pub(super) struct Home {
    pub(super) target: Target,
    /// When the owner was first seen.
    pub(super) joined: time::Instant,
    /// The owner that is told before the request runs, the next-ranked one.
    pub(super) backup: Option<Target>,
    pub(super) past: Vec<Past>,
}

/// An owner that may have run a request before.
pub(super) struct Past {
    /// Who can be asked, the owner itself first, and when they were first seen.
    pub(super) targets: Vec<(Target, time::Instant)>,
    /// Whether the owner that would run the request now was told of the keys that this one ran.
    pub(super) told_home: bool,
}

impl Target {
    /// Another attempt at the same place.
    pub(super) fn again(&self) -> Self {
        Self {
            endpoint: self.endpoint.clone(),
            group: self.group.clone(),
        }
    }
}

impl<L: peer::Link, O: Observer, D: Dialect> Ingress<L, O, D> {
    /// Chooses where the next attempt goes, and waits a while for a backend server where there is none.
    pub(super) async fn find_target(
        &self,
        arrival: &Arrival,
        trail: &Trail,
    ) -> Result<Target, Problem> {
        /// Time between two looks.
        const STEP: time::Duration = time::Duration::from_millis(20);
        let now = time::Instant::now();
        let wanted = arrival.target.saturating_duration_since(now);
        let until = now + self.shared.patience.wait(now, wanted, arrival.left());
        let none = Reason::Refused(admission::Reason::NoBackend);
        loop {
            let chosen = self.choose(arrival, trail);
            let is_none = |problem: &Problem| problem.reason.is(none) && trail.tried.is_empty();
            if !chosen.as_ref().is_err_and(is_none) || time::Instant::now() + STEP > until {
                return chosen;
            }
            compio::time::sleep(STEP).await;
            self.refresh(time::Instant::now());
        }
    }

    /// Chooses where the next attempt goes; not to a node that had it where there is another, and
    /// never to a version that its owner has refused as withheld.
    pub(super) fn choose(&self, arrival: &Arrival, trail: &Trail) -> Result<Target, Problem> {
        let now = time::Instant::now();
        let group = self.draw_group(arrival, rand::random(), trail.closed.as_ref())?;
        let policy = &self.shared.context.settings.choice;
        let bytes = arrival.usual.bytes();
        let among = |tried| routing::choose(&group, tried, bytes, policy, now, &mut rand::rng());
        let fresh = among(&trail.tried).filter(|one| !trail.tried.contains(&one.node));
        let next = || group.next_turn(&trail.tried, now);
        let endpoint = match fresh.map_or_else(|| Err(next()), Ok) {
            Ok(endpoint) => endpoint,
            // Its owner knows who is more urgent; but a refusal there says that the others refuse, too.
            Err(Some(endpoint)) if !trail.is_limited() => endpoint.clone(),
            // With every backend server tried, the first one may be better by now.
            Err(_) if trail.may_come_back() => among(&[]).ok_or_else(none_left)?,
            Err(_) => return Err(trail.last.unwrap_or_else(none_left)),
        };
        Ok(Target {
            endpoint,
            group: Some(group),
        })
    }

    /// The next backend server of the baseline.
    pub(super) fn rotate(&self, arrival: &Arrival) -> Result<Target, Problem> {
        let group = self.draw_group(arrival, rand::random(), None)?;
        let state = self.shared.state.borrow();
        let endpoint = state.rotation.choose(&group).ok_or_else(none_left)?;
        Ok(Target {
            endpoint,
            group: None,
        })
    }

    /// Draws a version and gives the backend servers that it may use.
    fn draw_group(
        &self,
        arrival: &Arrival,
        point: f64,
        closed: Option<&CompactString>,
    ) -> Result<rc::Rc<Group>, Problem> {
        let snapshot = self.shared.context.holder.get();
        let service = snapshot.service(&arrival.service);
        let service = service.ok_or(Problem::refused(Reason::NoRoute))?;
        let state = self.shared.state.borrow();
        let withheld = &self.shared.context.withheld;
        let open = |version: &str| {
            !withheld.contains(&service.name, version) && closed.is_none_or(|one| one != version)
        };
        let drawn = service.weights.is_empty().then(|| {
            let splits = &self.shared.context.splits;
            splits.draw(&service.name, point)
        });
        let group = match drawn {
            Some(drawn) => state.draw_unlisted(service, &drawn, open),
            None => state.draw(service, point, open),
        };
        let group = group.ok_or_else(none_left)?;
        let focus = self
            .shared
            .context
            .focus
            .get(&group.service, &group.version);
        Ok(match focus {
            Some(count) => rc::Rc::new(group.first(count)),
            None => group,
        })
    }

    /// Finds the owner that runs a request with `key`.
    pub(super) fn home(&self, arrival: &Arrival, key: &CompactString) -> Result<Home, Problem> {
        // The upper bits make a point from 0 up to 1, the same on every node.
        #[allow(clippy::cast_precision_loss)]
        let point = (hash_key(key) >> 11) as f64 / (1_u64 << 53) as f64;
        let group = self.draw_group(arrival, point, None)?;
        let now = time::Instant::now();
        let home = self
            .home_of(&group.service, &group.version, key, now)
            .ok_or_else(none_left)?;
        if home.endpoint.is_leaving() {
            return Err(none_left());
        }
        let node = &home.endpoint.node;
        let mut past = self.past(&home, node, now);
        let versions = self
            .shared
            .state
            .borrow()
            .directory
            .versions(&group.service);
        for version in versions.iter().filter(|version| **version != group.version) {
            // The key may have been drawn for another version when it was first sent.
            if let Some(other) = self.home_of(&group.service, version, key, now) {
                past.extend(self.past(&other, node, now));
                past.push(Past {
                    targets: vec![(target(&other.endpoint), other.joined)],
                    told_home: false,
                });
            }
        }
        Ok(Home {
            joined: home.joined,
            backup: home.backup.as_ref().map(target),
            target: Target {
                endpoint: home.endpoint.clone(),
                group: Some(group),
            },
            past,
        })
    }

    fn home_of(
        &self,
        service: &str,
        version: &str,
        key: &CompactString,
        now: time::Instant,
    ) -> Option<routing::Home> {
        let view = self.shared.context.members.get();
        let window = self.shared.context.settings.choice.key_window.0;
        let state = self.shared.state.borrow();
        let directory = &state.directory;
        directory.home(service, version, hash_key(key), &view, window, now)
    }

    /// The owners before `home` other than `node`, which is asked in any case.
    fn past(&self, home: &routing::Home, node: &units::Node, now: time::Instant) -> Vec<Past> {
        let others = home.past.iter().filter(|past| past.node != *node);
        let described = others.map(|past| {
            let own = past.address.map(|_| (&past.node, past.joined));
            let heir = past.heir.as_ref().filter(|heir| heir.node != *node);
            let heir = heir.map(|heir| (&heir.node, heir.joined));
            let asked = own.into_iter().chain(heir);
            Past {
                targets: asked
                    .filter_map(|(node, joined)| self.ask(node, joined, now))
                    .collect(),
                told_home: past.heir.as_ref().is_some_and(|heir| heir.node == *node),
            }
        });
        described.collect()
    }

    /// Where `node` can be asked for its records.
    fn ask(
        &self,
        node: &units::Node,
        joined: time::Instant,
        now: time::Instant,
    ) -> Option<(Target, time::Instant)> {
        let context = &self.shared.context;
        let view = context.members.get();
        let member = view.member(node)?;
        let endpoint = Endpoint::new(member, &context.node, &context.data_centre, now)?;
        Some((target(&rc::Rc::new(endpoint)), joined))
    }
}

fn target(endpoint: &rc::Rc<Endpoint>) -> Target {
    Target {
        endpoint: endpoint.clone(),
        group: None,
    }
}

/// No backend server can take the request.
fn none_left() -> Problem {
    Problem::later(Reason::Refused(admission::Reason::NoBackend))
}

impl State {
    /// The backend servers of what was drawn of a service whose versions are not listed.
    fn draw_unlisted(
        &self,
        service: &Service,
        drawn: &routing::Drawn,
        open: impl Fn(&str) -> bool,
    ) -> Option<rc::Rc<Group>> {
        use routing::Drawn;
        let directory = &self.directory;
        let name = &service.name;
        match drawn {
            Drawn::Unknown => None,
            Drawn::Established(versions) => directory.whole(name, |version| {
                open(version) && versions.iter().any(|one| one == version)
            }),
            Drawn::Trial(trial) => {
                let wanted = directory.whole(name, |version| open(version) && version == trial);
                wanted.or_else(|| directory.whole(name, &open))
            }
            Drawn::Others { trial, takes_over } => {
                let others = directory.whole(name, |version| open(version) && version != trial);
                let trial = || directory.whole(name, &open);
                others.or_else(|| takes_over.then(trial).flatten())
            }
        }
    }

    /// Draws an `open` version of `service` and finds its backend servers.
    fn draw(
        &self,
        service: &Service,
        point: f64,
        open: impl Fn(&str) -> bool,
    ) -> Option<rc::Rc<Group>> {
        let drawn = routing::draw(service, point, &open)?;
        if let Some(group) = self.directory.find(&service.name, &drawn.version) {
            return Some(group.clone());
        }
        let usable =
            |version: &str| open(version) && self.directory.find(&service.name, version).is_some();
        let other = routing::fall_back(service, drawn, usable)?;
        self.directory.find(&service.name, &other.version).cloned()
    }
}
