//! Choice of the backend server for an attempt.

use std::cell;
use std::rc;
use std::time;

use compact_str::CompactString;
use config::{Service, Snapshot};
use routing::{Demand, Endpoint, Group, Observer};

use super::confines::Confines;
use super::history::History;
use super::{Arrival, Dialect, Ingress, Problem, Reason, State, Target, hash_text};

/// The owner that runs a request with a key, and the previous owners that may have run it.
pub(super) struct KeyOwner {
    pub(super) target: Target,
    /// Time at which the owner was first seen.
    pub(super) joined: time::Instant,
    /// Next-ranked owner, which is notified before the request runs.
    pub(super) backup: Option<Target>,
    pub(super) previous: Vec<PreviousOwner>,
}

/// A previous owner that may have run a request.
pub(super) struct PreviousOwner {
    /// Nodes to ask, the owner itself first, with the times at which they were first seen.
    pub(super) targets: Vec<(Target, time::Instant)>,
    /// Whether the previous owner notified the current owner of the keys that it ran.
    pub(super) has_notified_owner: bool,
}

impl Target {
    /// Creates a target for another attempt at the same endpoint.
    pub(super) fn duplicate(&self) -> Self {
        Self {
            endpoint: self.endpoint.clone(),
            group: self.group.clone(),
        }
    }
}

impl<L: peer::Link, O: Observer, D: Dialect> Ingress<L, O, D> {
    /// Chooses the target of the next attempt; waits for a limited time if no backend server is
    /// available.
    pub(super) async fn find_target(
        &self,
        arrival: &Arrival,
        history: &History,
    ) -> Result<Target, Problem> {
        /// Time between two checks for a backend server.
        const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
        let now = time::Instant::now();
        let until = now
            + self.shared.wait_policy.wait(
                now,
                arrival.usual_time_to_target(),
                arrival.time_left(),
            );
        let unavailable = Reason::Refused(admission::Reason::NoBackend);
        loop {
            let chosen = self.choose(arrival, history);
            let is_unavailable =
                |problem: &Problem| problem.reason.is(unavailable) && history.tried.is_empty();
            if !chosen.as_ref().is_err_and(is_unavailable)
                || time::Instant::now() + POLL_INTERVAL > until
            {
                return chosen;
            }
            compio::time::sleep(POLL_INTERVAL).await;
            self.refresh(time::Instant::now());
        }
    }

    /// Chooses the target of the next attempt, preferring nodes that have not been tried. A version
    /// that its owner has refused as withheld is never chosen.
    pub(super) fn choose(&self, arrival: &Arrival, history: &History) -> Result<Target, Problem> {
        let now = time::Instant::now();
        let group = self.draw_group(arrival, rand::random(), history.withheld_version.as_ref())?;
        let policy = &self.shared.context.settings.choice;
        let demand = Demand {
            bytes: arrival.baseline.bytes(),
            work_ms: arrival.baseline.work_ms(),
        };
        let candidate =
            |tried| routing::choose(&group, tried, demand, policy, now, &mut rand::rng());
        let untried = candidate(&history.tried).filter(|one| !history.tried.contains(&one.node));
        let next_turn = || group.next_turn(&history.tried, now);
        let endpoint = match untried.map_or_else(|| Err(next_turn()), Ok) {
            Ok(endpoint) => endpoint,
            // The owner orders requests by urgency. A rate-limit refusal there means that the
            // others refuse too.
            Err(Some(endpoint)) if !history.is_limited() => endpoint.clone(),
            // Once every backend server has been tried, the first one may have recovered.
            Err(_) if history.may_repeat_node() => candidate(&[]).ok_or_else(no_backend)?,
            Err(_) => return Err(history.last.unwrap_or_else(no_backend)),
        };
        Ok(Target {
            endpoint,
            group: Some(group),
        })
    }

    /// Returns the next backend server in the round robin of the baseline.
    pub(super) fn rotate(&self, arrival: &Arrival) -> Result<Target, Problem> {
        let group = self.draw_group(arrival, rand::random(), None)?;
        let state = self.shared.state.borrow();
        let endpoint = state.round_robin.choose(&group).ok_or_else(no_backend)?;
        Ok(Target {
            endpoint,
            group: None,
        })
    }

    /// Draws a version and returns the backend servers that it may use.
    fn draw_group(
        &self,
        arrival: &Arrival,
        point: f64,
        withheld_version: Option<&CompactString>,
    ) -> Result<rc::Rc<Group>, Problem> {
        let snapshot = self.shared.context.holder.get();
        let service = snapshot.service(&arrival.service);
        let service = service.ok_or(Problem::refused(Reason::NoRoute))?;
        let state = self.shared.state.borrow();
        let withheld = &self.shared.context.withheld;
        let is_allowed = |version: &str| {
            !withheld.contains(&service.name, version)
                && withheld_version.is_none_or(|one| one != version)
        };
        let drawn = service.weights.is_empty().then(|| {
            let splits = &self.shared.context.splits;
            splits.draw(&service.name, point)
        });
        let confines = self.confines(arrival, &snapshot);
        let group = match drawn {
            Some(drawn) => state.draw_unlisted(service, &drawn, is_allowed, &confines),
            None => state.draw(service, point, is_allowed, &confines),
        };
        let group = group.ok_or_else(|| confines.problem())?;
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

    /// Returns the data centres to which a request may be sent.
    fn confines<'c>(&'c self, arrival: &'c Arrival, snapshot: &'c Snapshot) -> Confines<'c> {
        let context = &self.shared.context;
        let workspace = snapshot.workspace(&arrival.workspace);
        let workspace = workspace.map_or(&[][..], |workspace| &workspace.homes);
        Confines {
            evacuations: &context.evacuations,
            regions: &context.regions,
            homes: [&arrival.route.homes, workspace],
            evacuated: cell::Cell::default(),
        }
    }

    /// Finds the owner that runs a request with `key`.
    pub(super) fn key_owner(
        &self,
        arrival: &Arrival,
        key: &CompactString,
    ) -> Result<KeyOwner, Problem> {
        // The upper bits give a number in [0, 1), the same on every node.
        #[allow(clippy::cast_precision_loss)]
        let point = (hash_text(key) >> 11) as f64 / (1_u64 << 53) as f64;
        let group = self.draw_group(arrival, point, None)?;
        let now = time::Instant::now();
        let snapshot = self.shared.context.holder.get();
        let owners = if self.confines(arrival, &snapshot).is_narrow() {
            self.find_key_owner_within(&group, key, now)
        } else {
            self.find_key_owner(&group.service, &group.version, key, now)
        };
        let owners = owners.ok_or_else(no_backend)?;
        if owners.owner.is_leaving() {
            return Err(no_backend());
        }
        let node = &owners.owner.node;
        let mut previous = self.previous_owners(&owners, node, now);
        let versions = self
            .shared
            .state
            .borrow()
            .directory
            .recent_versions(&group.service);
        for version in versions.iter().filter(|version| **version != group.version) {
            // The key may have been assigned to another version when it was first sent.
            if let Some(other) = self.find_key_owner(&group.service, version, key, now) {
                previous.extend(self.previous_owners(&other, node, now));
                previous.push(PreviousOwner {
                    targets: vec![(target(&other.owner), other.joined)],
                    has_notified_owner: false,
                });
            }
        }
        Ok(KeyOwner {
            joined: owners.joined,
            backup: owners.backup.as_ref().map(target),
            target: Target {
                endpoint: owners.owner.clone(),
                group: Some(group),
            },
            previous,
        })
    }

    fn find_key_owner(
        &self,
        service: &str,
        version: &str,
        key: &CompactString,
        now: time::Instant,
    ) -> Option<routing::KeyOwners> {
        let view = self.shared.context.members.get();
        let window = self.shared.context.settings.choice.key_window.0;
        let state = self.shared.state.borrow();
        let directory = &state.directory;
        directory.key_owners(service, version, hash_text(key), &view, window, now)
    }

    fn find_key_owner_within(
        &self,
        group: &Group,
        key: &CompactString,
        now: time::Instant,
    ) -> Option<routing::KeyOwners> {
        let view = self.shared.context.members.get();
        let window = self.shared.context.settings.choice.key_window.0;
        let state = self.shared.state.borrow();
        let directory = &state.directory;
        directory.key_owners_within(group, hash_text(key), &view, window, now)
    }

    /// Returns the previous owners in `owners`, except `node`, which is asked in any case.
    fn previous_owners(
        &self,
        owners: &routing::KeyOwners,
        node: &units::Node,
        now: time::Instant,
    ) -> Vec<PreviousOwner> {
        let others = owners
            .previous
            .iter()
            .filter(|previous| previous.node != *node);
        let previous = others.map(|previous| {
            let own = previous.address.map(|_| (&previous.node, previous.joined));
            let backup = previous
                .backup
                .as_ref()
                .filter(|backup| backup.node != *node);
            let backup = backup.map(|backup| (&backup.node, backup.joined));
            let nodes = own.into_iter().chain(backup);
            PreviousOwner {
                targets: nodes
                    .filter_map(|(node, joined)| self.recall_target(node, joined, now))
                    .collect(),
                has_notified_owner: previous
                    .backup
                    .as_ref()
                    .is_some_and(|backup| backup.node == *node),
            }
        });
        previous.collect()
    }

    /// Returns the target for asking `node` for its records.
    fn recall_target(
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

/// Returns the problem for a request that no backend server can take.
fn no_backend() -> Problem {
    Problem::retryable(Reason::Refused(admission::Reason::NoBackend))
}

impl State {
    /// Returns the backend servers for `drawn`, for a service whose versions are not listed.
    fn draw_unlisted(
        &self,
        service: &Service,
        drawn: &routing::Draw,
        is_allowed: impl Fn(&str) -> bool,
        confines: &Confines<'_>,
    ) -> Option<rc::Rc<Group>> {
        use routing::Draw;
        let directory = &self.directory;
        let name = &service.name;
        let narrow = |group| confines.narrow(group);
        match drawn {
            Draw::Unknown => None,
            Draw::Established(versions) => {
                let established = directory.merged_group(name, |version| {
                    is_allowed(version) && versions.iter().any(|one| one == version)
                });
                established.and_then(narrow)
            }
            Draw::Trial(trial) => {
                let trial_group =
                    directory.merged_group(name, |version| is_allowed(version) && version == trial);
                let all = || directory.merged_group(name, &is_allowed);
                let trial_group = trial_group.and_then(narrow);
                trial_group.or_else(|| all().and_then(narrow))
            }
            Draw::Others { trial, takes_over } => {
                let others =
                    directory.merged_group(name, |version| is_allowed(version) && version != trial);
                let trial = || directory.merged_group(name, &is_allowed);
                let others = others.and_then(narrow);
                others.or_else(|| takes_over.then(trial).flatten().and_then(narrow))
            }
        }
    }

    /// Draws a version of `service` that `is_allowed` accepts, and finds its backend servers.
    fn draw(
        &self,
        service: &Service,
        point: f64,
        is_allowed: impl Fn(&str) -> bool,
        confines: &Confines<'_>,
    ) -> Option<rc::Rc<Group>> {
        let find = |version: &str| {
            let group = self.directory.find(&service.name, version)?;
            confines.narrow(group.clone())
        };
        let drawn = routing::draw(service, point, &is_allowed)?;
        if let Some(group) = find(&drawn.version) {
            return Some(group);
        }
        let is_usable = |version: &str| is_allowed(version) && find(version).is_some();
        let other = routing::fall_back(service, drawn, is_usable)?;
        find(&other.version)
    }
}
