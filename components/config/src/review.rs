//! Review of a valid configuration for entries that its author probably did not intend.

use crate::{Findings, Route, Service, Snapshot, Workspace};

/// Findings in a valid configuration that its author probably did not intend.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Review {
    /// Entries that no request ever reaches.
    pub unreachable: Findings,
    /// Limits that contradict each other.
    pub contradictory: Findings,
}

impl Review {
    /// Reviews `snapshot`.
    #[must_use]
    pub fn new(snapshot: &Snapshot) -> Self {
        let mut review = Self::default();
        for service in snapshot.services() {
            review.review_service(service, snapshot);
        }
        for route in snapshot.routes() {
            review.review_route(route, snapshot);
        }
        for workspace in snapshot.workspaces() {
            review.review_workspace(workspace);
        }
        review
    }

    /// Whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.unreachable.is_empty() && self.contradictory.is_empty()
    }

    fn review_service(&mut self, service: &Service, snapshot: &Snapshot) {
        let place = format!("/services/{}", service.name);
        let named = |route: &Route| route.services().any(|name| *name == service.name);
        if !snapshot.routes().iter().any(named) {
            let problem = "no route names it";
            self.unreachable
                .add(place.as_str(), problem, "a route, or no service");
        }
        let has_rate = service.warmup_rate.0 > 0.0;
        let has_period = !service.warmup.0.is_zero();
        if has_rate != has_period {
            let problem = format!("a warm-up of {} at {}", service.warmup, service.warmup_rate);
            let expected = "a period and a rate, or neither";
            self.contradictory
                .add(format!("{place}/warmup"), problem, expected);
        }
    }

    fn review_route(&mut self, route: &Route, snapshot: &Snapshot) {
        let place = format!("/routes/{}", route.name);
        if has_dot_segment(&route.path_prefix) {
            let problem = "callers resolve dot segments before they send a path";
            let expected = "a path without `.` and `..` segments";
            self.unreachable
                .add(format!("{place}/path_prefix"), problem, expected);
        }
        for (index, part) in route.split.iter().enumerate() {
            if part.weight == 0 {
                let problem = format!("`{}` has no weight", part.service);
                let expected = "a weight above zero, or no entry";
                self.unreachable
                    .add(format!("{place}/split/{index}"), problem, expected);
            }
        }
        if route.target > route.timeout {
            let problem = format!(
                "an answer is wanted within {}, and given up after {}",
                route.target, route.timeout
            );
            let expected = "a target within the timeout";
            self.contradictory
                .add(format!("{place}/target"), problem, expected);
        }
        self.review_homes(route, &place, snapshot);
    }

    /// Reports workspaces whose requests on `route` have no region to run in.
    fn review_homes(&mut self, route: &Route, place: &str, snapshot: &Snapshot) {
        if route.public || route.homes.is_empty() || snapshot.workspaces().is_empty() {
            return;
        }
        let is_excluded = |workspace: &&Workspace| {
            let homes = &workspace.homes;
            !homes.is_empty() && !homes.iter().any(|home| route.homes.contains(home))
        };
        let excluded = snapshot.workspaces().iter().filter(is_excluded);
        let names: Vec<_> = excluded.map(|one| one.name.as_str()).collect();
        let place = format!("{place}/homes");
        if names.len() == snapshot.workspaces().len() {
            let problem = "no workspace shares a region with it";
            self.unreachable
                .add(place, problem, "a region of one workspace at least");
        } else if !names.is_empty() {
            let problem = format!("it shares no region with {}", names.join(", "));
            let expected = "a region of each workspace that uses it";
            self.contradictory.add(place, problem, expected);
        }
    }

    fn review_workspace(&mut self, workspace: &Workspace) {
        let place = format!("/workspaces/{}", workspace.name);
        if workspace.keys.is_empty() {
            let expected = "a key, or no workspace";
            self.unreachable
                .add(format!("{place}/keys"), "it has no key", expected);
        }
        if workspace.burst > 0 && workspace.rate.0 == 0.0 {
            let problem = format!("a burst of {} without a rate", workspace.burst);
            let expected = "a rate that refills the burst, or no burst";
            self.contradictory
                .add(format!("{place}/burst"), problem, expected);
        }
    }
}

/// Whether a path holds segments that RFC 3986, section 5.2.4, removes.
fn has_dot_segment(path: &str) -> bool {
    path.split('/').any(|segment| matches!(segment, "." | ".."))
}
