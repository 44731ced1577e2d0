//! Gossips updates, expires suspicions and leases, and publishes views.

use std::rc;
use std::time;

use compio::runtime;
use schema::membership as wire;
use wire::request::Kind;

use crate::mass_failure::Group;
use crate::scope::Scope;
use crate::shared::Shared;
use crate::{Member, PauseDetector, State, Update, digest};

impl<S: platform::Store, L: peer::Link> Shared<S, L> {
    /// Timeout of a gossip message.
    const GOSSIP_TIMEOUT: time::Duration = time::Duration::from_secs(1);
    /// Number of unanswered gossip messages at which a gossip round is skipped.
    const GOSSIP_IN_FLIGHT: usize = 64;
    /// Number of attempts to send updates to the bridges of another data centre.
    const FORWARD_ATTEMPTS: usize = 3;
    /// Maximum time to gossip a drain or the departure of this node.
    const DEPARTURE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

    /// Runs the periodic work, once per gossip period.
    pub(crate) async fn run_gossip(self: rc::Rc<Self>, stop: kernel::Stop) {
        let period = self.settings.gossip_period.0;
        let mut pause_detector = PauseDetector::new(time::Instant::now(), period);
        while stop.sleep(period).await {
            let now = time::Instant::now();
            self.handle_pause(pause_detector.tick(now), now);
            self.end_suspicions(now);
            self.end_lease(now);
            let unreachable = self.outages.borrow().list(now);
            self.table.borrow_mut().set_unreachable(unreachable);
            self.publish(now);
            self.forward_to_centres();
            self.gossip_in_scope();
            self.complete_drains(now);
        }
    }

    /// Sets the state of this node to left and gossips the change for up to `DEPARTURE_TIMEOUT`.
    pub(crate) async fn leave(self: rc::Rc<Self>) {
        self.table.borrow_mut().update_own(|own| {
            own.state = State::Left;
            own.backend = None;
        });
        let until = time::Instant::now() + Self::DEPARTURE_TIMEOUT;
        while time::Instant::now() < until && self.has_own_rumor() {
            self.forward_to_centres();
            self.gossip_in_scope();
            compio::time::sleep(self.settings.gossip_period.0).await;
        }
    }

    /// Returns whether the record of this node is still queued for gossip and there are members to
    /// receive it.
    fn has_own_rumor(&self) -> bool {
        let alone = self.scope.borrow().near().is_empty();
        let mut table = self.table.borrow_mut();
        !alone && table.rumors().contains(&self.identity.node)
    }

    /// Compensates for a pause of this process, in which all other members would seem unresponsive.
    fn handle_pause(&self, late: time::Duration, now: time::Instant) {
        if late >= self.settings.probe_period.0 {
            log::warn!(pause_ms = late.as_millis() as u64; "this process was paused");
            self.counter.update(|counts| counts.pauses += 1);
            self.grace_until.set(now + self.settings.probe_period.0 * 2);
            self.table
                .borrow_mut()
                .extend_suspicions(late + self.settings.probe_period.0);
            self.lease_end
                .set(self.lease_end.get().map(|end| end + late));
            if late >= self.settings.retention.0 / 2 {
                self.rejoin();
            }
        } else if late >= self.settings.probe_timeout.0 {
            self.worsen_health();
        }
    }

    /// Declares suspects dead when their suspicion period ends, unless many members are unresponsive at
    /// the same time.
    fn end_suspicions(&self, now: time::Instant) {
        if now < self.grace_until.get() {
            return;
        }
        let scope = self.scope();
        let members = scope.size();
        let factor = self.health.get().factor();
        let mut table = self.table.borrow_mut();
        let expired: Vec<_> = table
            .suspects()
            .iter()
            .filter_map(|node| table.record(node))
            .filter(|record| scope.decides_on(&record.member))
            .filter(|record| {
                let period = self
                    .suspicion
                    .period(members, record.accusers.len(), factor);
                now.saturating_duration_since(record.since) >= period
            })
            .map(|record| record.member.clone())
            .collect();
        if expired.is_empty() {
            return;
        }
        let unresponsive = Unresponsive::count(&table, self.settings.herd_window.0, now);
        for member in expired {
            let group = unresponsive.group(&member.data_centre);
            let mass_failure = self.mass_failure.applies_to(group)
                || self.mass_failure.applies_to(unresponsive.mesh);
            let age = table.record(&member.node).map(|record| record.since);
            let age = age.map_or(time::Duration::ZERO, |since| {
                now.saturating_duration_since(since)
            });
            if mass_failure && age < self.settings.retention.0 {
                self.count_hold(&table, &member);
                table.set_held(&member.node, true);
            } else {
                self.counter.update(|counts| counts.deaths += 1);
                log::info!(member = member.node.as_str(); "member declared dead");
                table.declare_dead(&member.node, now);
            }
        }
        self.hold_recent_deaths(&mut table, &unresponsive, now);
    }

    fn count_hold(&self, table: &crate::Table, member: &Member) {
        let held = table.record(&member.node).is_some_and(|record| record.held);
        if !held {
            self.counter.update(|counts| counts.holds += 1);
        }
    }

    /// Also keeps members in the view as suspects that were declared dead shortly before the others of
    /// the same event.
    fn hold_recent_deaths(
        &self,
        table: &mut crate::Table,
        unresponsive: &Unresponsive,
        now: time::Instant,
    ) {
        let window = self.settings.herd_window.0;
        let recent: Vec<_> = table
            .records()
            .iter()
            .filter(|record| record.member.state == State::Dead && !record.held)
            .filter(|record| now.saturating_duration_since(record.since) < window)
            .map(|record| record.member.clone())
            .collect();
        for member in recent {
            let group = unresponsive.group(&member.data_centre);
            if self.mass_failure.applies_to(group)
                || self.mass_failure.applies_to(unresponsive.mesh)
            {
                table.set_held(&member.node, true);
            }
        }
    }

    /// Removes the backend server from the record of this node when its lease has expired.
    fn end_lease(&self, now: time::Instant) {
        if self.lease_end.get().is_some_and(|end| now >= end) {
            self.lease_end.set(None);
            self.counter.update(|counts| counts.lapsed_leases += 1);
            log::warn!("backend server lease expired");
            self.table.borrow_mut().update_own(|own| own.backend = None);
        }
    }

    /// Publishes a view if the table has changed and the view period has passed.
    pub(crate) fn publish(&self, now: time::Instant) {
        let due =
            now.saturating_duration_since(self.last_published.get()) >= self.settings.view_period.0;
        if due && self.is_complete(now) {
            self.publish_now(now);
        }
    }

    /// Returns whether the table is complete enough to publish. A node that rejoins after a long pause
    /// keeps its old view until it knows as many members, since the nodes that it contacts first may be
    /// rejoining, too.
    pub(crate) fn is_complete(&self, now: time::Instant) -> bool {
        /// Time after joining at which the table is taken to be complete.
        const SETTLE_TIME: time::Duration = time::Duration::from_secs(1);
        let settled =
            |joined_at: time::Instant| now.saturating_duration_since(joined_at) >= SETTLE_TIME;
        let known = self.reader.get().members().len();
        self.joined_at.get().is_some_and(settled) || self.table.borrow().records().len() >= known
    }

    /// Replaces the view if the table has changed.
    pub(crate) fn publish_now(&self, now: time::Instant) {
        let table = self.table.borrow();
        if self.reader.get().generation() == table.generation() {
            return;
        }
        self.last_published.set(now);
        let view = table.view();
        let scope = Scope::new(view.members(), &table.own(), self.settings.centre_members);
        *self.scope.borrow_mut() = rc::Rc::new(scope);
        self.counter.update(|counts| counts.views += 1);
        drop(table);
        self.reader.set(view);
    }

    /// Sends queued updates to `gossip_fanout` random members in scope.
    fn gossip_in_scope(self: &rc::Rc<Self>) {
        if self.gossip_in_flight.get() >= Self::GOSSIP_IN_FLIGHT {
            return;
        }
        let scope = self.scope();
        for member in scope.sample(self.settings.gossip_fanout, &self.identity.node) {
            let updates = self.next_updates(self.settings.gossip_limit);
            if updates.is_empty() {
                return;
            }
            let shared = self.clone();
            let work = async move {
                shared.send_gossip(member.peer_address, updates).await;
            };
            runtime::spawn(work).detach();
        }
    }

    /// Sends updates about this data centre to the other ones if this node is a bridge.
    fn forward_to_centres(self: &rc::Rc<Self>) {
        let scope = self.scope();
        let own = &self.identity;
        let centres = scope.far_centres();
        let bridges = self.settings.bridges;
        if centres.is_empty() || !scope.ranks().is_first(&own.data_centre, bridges, &own.node) {
            return;
        }
        let is_near = |update: &Update| update.member.data_centre == own.data_centre;
        let updates = self.table.borrow_mut().rumors().take_unforwarded(is_near);
        if updates.is_empty() {
            return;
        }
        let updates: Vec<_> = updates.iter().map(Update::encode).collect();
        for centre in centres {
            let shared = self.clone();
            let (centre, updates) = (centre.clone(), updates.clone());
            runtime::spawn(async move { shared.forward_to(&centre, updates).await }).detach();
        }
    }

    async fn forward_to(&self, centre: &units::DataCentre, updates: Vec<wire::Update>) {
        for _ in 0..Self::FORWARD_ATTEMPTS {
            let Some(bridge) = self.scope().bridge(centre, self.settings.bridges) else {
                return;
            };
            let received = self.send_gossip(bridge.peer_address, updates.clone()).await;
            self.record_reachability(centre, received);
            if received {
                return;
            }
        }
    }

    /// Sends updates to the node at `to`; returns whether that node acknowledged them.
    pub(crate) async fn send_gossip(&self, to: units::Address, updates: Vec<wire::Update>) -> bool {
        self.gossip_in_flight.set(self.gossip_in_flight.get() + 1);
        let kind = Kind::Gossip(wire::Gossip { updates });
        let received: Result<wire::Gossip, _> = self.request(to, kind, Self::GOSSIP_TIMEOUT).await;
        self.gossip_in_flight.set(self.gossip_in_flight.get() - 1);
        received.is_ok()
    }

    fn complete_drains(&self, now: time::Instant) {
        if self.drains.borrow().is_empty() {
            return;
        }
        let waiting = self.has_own_rumor();
        let drains = self.drains.take();
        let ended = |drain: &crate::shared::Drain| {
            !waiting || now.saturating_duration_since(drain.since) >= Self::DEPARTURE_TIMEOUT
        };
        let (ended, running): (Vec<_>, Vec<_>) = drains.into_iter().partition(ended);
        self.drains.borrow_mut().extend(running);
        for drain in ended {
            // The receiver may have been dropped.
            let _ = drain.done.send(());
        }
    }
}

/// Number of unresponsive members, in the whole mesh and per data centre.
struct Unresponsive {
    mesh: Group,
    /// Sorted by data centre.
    centres: Vec<(units::DataCentre, Group)>,
}

impl Unresponsive {
    fn count(table: &crate::Table, window: time::Duration, now: time::Instant) -> Self {
        let mut counts = Self {
            mesh: Group::default(),
            centres: Vec::new(),
        };
        for record in table.records() {
            let recent = now.saturating_duration_since(record.since) < window;
            let died = record.member.state == State::Dead && (recent || record.held);
            if died || digest::is_running(&record.member) {
                let unresponsive = died || record.member.state == State::Suspect;
                counts.add(&record.member.data_centre, unresponsive);
            }
        }
        counts
    }

    fn add(&mut self, centre: &units::DataCentre, unresponsive: bool) {
        let index = self.centres.binary_search_by(|one| one.0.cmp(centre));
        let index = index.unwrap_or_else(|index| {
            self.centres
                .insert(index, (centre.clone(), Group::default()));
            index
        });
        for group in [&mut self.mesh, &mut self.centres[index].1] {
            group.members += 1;
            group.unresponsive += usize::from(unresponsive);
        }
    }

    fn group(&self, centre: &units::DataCentre) -> Group {
        let index = self.centres.binary_search_by(|one| one.0.cmp(centre));
        index.map_or_else(|_| Group::default(), |index| self.centres[index].1)
    }
}
