//! Records of all members, and the merging of updates into them.

use std::cmp;
use std::rc;
use std::time;

use crate::digest::is_running;
use crate::{Digest, Member, Phase, Rumors, State, Suspicion, Update, View};

/// Records of all members that a node knows, including itself.
#[derive(Debug)]
pub struct Table {
    own: units::Node,
    /// Sorted by node.
    records: Vec<Record>,
    /// Suspect members, sorted by node.
    suspects: Vec<units::Node>,
    digest: Digest,
    rumors: Rumors,
    /// Unreachable data centres, sorted.
    unreachable: Vec<units::DataCentre>,
    limit: usize,
    generation: u64,
    refuted: u64,
    ignored: u64,
    /// Instance of the backend server beside this node that other nodes know as leaving.
    leaving_instance: Option<u64>,
}

/// Record of one member.
#[derive(Debug, Clone)]
pub struct Record {
    /// Newest known state.
    pub member: rc::Rc<Member>,
    /// Time of the last state change.
    pub since: time::Instant,
    /// Nodes that suspect the member.
    pub accusers: Vec<units::Node>,
    /// Whether the member became unresponsive together with many others, and the view shows it as suspect
    /// rather than dead.
    pub held: bool,
    /// Whether the member does not answer this node, possibly because of a fault of this node.
    pub doubted: bool,
}

/// Whether an update is propagated by gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Propagation {
    /// Queued for gossip.
    Gossip,
    /// Not gossiped: received in bulk, and the other nodes have the update or receive it the same way.
    Bulk,
}

/// Effect of an update on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The record has changed.
    Applied,
    /// The update was known already.
    Duplicate,
    /// The record in the table is newer.
    Stale,
    /// The update does not apply, such as the death of an unknown member.
    Ignored,
    /// The update was wrong about this node, which has raised its incarnation.
    Refuted,
}

impl Table {
    /// Creates a table with the record of this node only.
    #[must_use]
    pub fn new(own: Member, limit: usize, now: time::Instant) -> Self {
        let mut table = Self {
            own: own.node.clone(),
            records: Vec::new(),
            suspects: Vec::new(),
            digest: Digest::default(),
            rumors: Rumors::default(),
            unreachable: Vec::new(),
            limit,
            generation: 1,
            refuted: 0,
            ignored: 0,
            leaving_instance: None,
        };
        table.digest.add(&own);
        let own = rc::Rc::new(own);
        table.rumors.add(Update::of(own.clone()));
        table.records.push(Record::new(own, now));
        table
    }

    /// Returns the record of this node.
    #[must_use]
    pub fn own(&self) -> rc::Rc<Member> {
        let own = self.record(&self.own).map(|record| record.member.clone());
        // `new` adds the own record, and no method removes it.
        own.unwrap_or_else(|| unreachable!("the own record is always kept"))
    }

    /// Returns all records, sorted by node.
    #[must_use]
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Returns the record of `node`.
    #[must_use]
    pub fn record(&self, node: &units::Node) -> Option<&Record> {
        self.position(node).ok().map(|index| &self.records[index])
    }

    /// Returns the suspect members, sorted by node.
    #[must_use]
    pub fn suspects(&self) -> &[units::Node] {
        &self.suspects
    }

    /// Returns the hashes over the running members.
    #[must_use]
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns the queue of updates to gossip.
    pub fn rumors(&mut self) -> &mut Rumors {
        &mut self.rumors
    }

    /// Returns the generation, which is raised with each change that is visible in a view.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns how many updates about itself this node has refuted.
    #[must_use]
    pub fn refuted(&self) -> u64 {
        self.refuted
    }

    /// Returns the number of ignored updates.
    #[must_use]
    pub fn ignored(&self) -> u64 {
        self.ignored
    }

    /// Returns the instance of the backend server beside this node that a previous process of this node
    /// reported as leaving.
    #[must_use]
    pub fn leaving_instance(&self) -> Option<u64> {
        self.leaving_instance
    }

    /// Applies an update at `now` and queues it for gossip.
    pub fn apply(&mut self, update: Update, now: time::Instant) -> Outcome {
        self.learn(update, Propagation::Gossip, now)
    }

    /// Applies an update at `now`.
    pub fn learn(
        &mut self,
        update: Update,
        propagation: Propagation,
        now: time::Instant,
    ) -> Outcome {
        if update.member.node == self.own {
            return self.apply_own(&update.member);
        }
        match self.position(&update.member.node) {
            Ok(index) => self.merge(index, update, propagation, now),
            Err(index) => self.insert(index, update, propagation, now),
        }
    }

    /// Changes the record of this node and raises its incarnation.
    pub fn update_own(&mut self, change: impl FnOnce(&mut Member)) {
        let mut own = Member::clone(&self.own());
        change(&mut own);
        own.incarnation += 1;
        self.set_own(own);
    }

    /// Queues the record of this node for gossip.
    pub fn gossip_own(&mut self) {
        let own = self.own();
        self.rumors.add(Update::of(own));
    }

    /// Marks `node` as suspect on behalf of `accuser`.
    pub fn accuse(&mut self, node: &units::Node, accuser: &units::Node, now: time::Instant) {
        let Some(record) = self.record(node) else {
            return;
        };
        let mut member = Member::clone(&record.member);
        if !is_running(&member) {
            return;
        }
        member.state = State::Suspect;
        let update = Update {
            member: rc::Rc::new(member),
            accuser: Some(accuser.clone()),
        };
        self.apply(update, now);
    }

    /// Declares a suspect dead.
    pub fn declare_dead(&mut self, node: &units::Node, now: time::Instant) {
        let Some(record) = self.record(node) else {
            return;
        };
        if record.member.state != State::Suspect {
            return;
        }
        let mut member = Member::clone(&record.member);
        member.state = State::Dead;
        self.apply(Update::of(rc::Rc::new(member)), now);
    }

    /// Sets whether `node` fails to answer this node only.
    pub fn set_doubted(&mut self, node: &units::Node, doubted: bool) {
        self.set_flag(node, |record| &mut record.doubted, doubted);
    }

    /// Sets whether `node` is unresponsive together with many others.
    pub fn set_held(&mut self, node: &units::Node, held: bool) {
        self.set_flag(node, |record| &mut record.held, held);
    }

    /// Sets the unreachable data centres. The view shows their members as suspects: an unreachable member
    /// may still be running.
    pub fn set_unreachable(&mut self, unreachable: Vec<units::DataCentre>) {
        if unreachable != self.unreachable {
            self.unreachable = unreachable;
            self.generation += 1;
        }
    }

    /// Extends all suspicions by `pause`, for which this process did not run.
    pub fn extend_suspicions(&mut self, pause: time::Duration) {
        for node in self.suspects.clone() {
            if let Ok(index) = self.position(&node) {
                self.records[index].since += pause;
            }
        }
    }

    /// Removes members that failed or left at least `retention` ago.
    pub fn purge(&mut self, retention: time::Duration, now: time::Instant) {
        let before = self.records.len();
        self.records.retain(|record| {
            let age = now.saturating_duration_since(record.since);
            is_running(&record.member) || age < retention
        });
        if self.records.len() != before {
            self.generation += 1;
        }
    }

    /// Removes all members except this node, after a pause in which their updates were missed.
    pub fn forget(&mut self) {
        let others: Vec<_> = self.records.drain(..).collect();
        let (own, others): (Vec<_>, Vec<_>) = others
            .into_iter()
            .partition(|record| record.member.node == self.own);
        for record in others {
            self.digest.remove(&record.member);
        }
        self.records = own;
        self.suspects.clear();
        self.rumors = Rumors::default();
        self.generation += 1;
    }

    /// Creates the view for other services.
    #[must_use]
    pub fn view(&self) -> View {
        let unreachable = |record: &Record| {
            self.unreachable
                .binary_search(&record.member.data_centre)
                .is_ok()
        };
        let members_shown = self
            .records
            .iter()
            .map(|record| record.view_member(unreachable(record)));
        let members = members_shown.collect();
        View::new(members, self.generation)
    }

    fn position(&self, node: &units::Node) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.member.node.cmp(node))
    }

    fn set_flag(
        &mut self,
        node: &units::Node,
        flag: impl FnOnce(&mut Record) -> &mut bool,
        value: bool,
    ) {
        let Ok(index) = self.position(node) else {
            return;
        };
        let flag = flag(&mut self.records[index]);
        if *flag != value {
            *flag = value;
            self.generation += 1;
        }
    }

    /// Applies an update about this node by another node: one newer than the own record is refuted.
    fn apply_own(&mut self, member: &Member) -> Outcome {
        let mut own = Member::clone(&self.own());
        self.adopt_leaving(member, &mut own);
        match member.compare(&own) {
            cmp::Ordering::Equal => Outcome::Duplicate,
            cmp::Ordering::Less => Outcome::Stale,
            cmp::Ordering::Greater => {
                own.incarnation = member.incarnation + 1;
                self.refuted += 1;
                self.set_own(own);
                Outcome::Refuted
            }
        }
    }

    /// Adopts the draining phase of the backend server from a record of a previous process of this node.
    fn adopt_leaving(&mut self, member: &Member, own: &mut Member) {
        let backend = member.backend.as_ref();
        let Some(leaving) = backend.filter(|backend| backend.phase == Phase::Draining) else {
            return;
        };
        self.leaving_instance = Some(leaving.instance);
        let current = own.backend.as_mut();
        if let Some(current) = current.filter(|current| current.instance == leaving.instance) {
            current.phase = Phase::Draining;
        }
    }

    fn set_own(&mut self, own: Member) {
        let Ok(index) = self.position(&self.own) else {
            return;
        };
        self.replace(index, rc::Rc::new(own));
    }

    fn insert(
        &mut self,
        index: usize,
        update: Update,
        propagation: Propagation,
        now: time::Instant,
    ) -> Outcome {
        // Dead or left members that are unknown are not added: nodes purge such records at different
        // times and would otherwise keep returning them to each other.
        if !is_running(&update.member) || self.records.len() >= self.limit {
            self.ignored += 1;
            return Outcome::Ignored;
        }
        self.digest.add(&update.member);
        let mut record = Record::new(update.member.clone(), now);
        record.accusers.extend(update.accuser.clone());
        self.records.insert(index, record);
        self.update_suspects(&update.member);
        self.queue_rumor(update, propagation);
        self.generation += 1;
        Outcome::Applied
    }

    fn merge(
        &mut self,
        index: usize,
        update: Update,
        propagation: Propagation,
        now: time::Instant,
    ) -> Outcome {
        let record = &mut self.records[index];
        match update.member.compare(&record.member) {
            cmp::Ordering::Less => Outcome::Stale,
            cmp::Ordering::Equal => self.add_accuser(index, update, propagation),
            cmp::Ordering::Greater => {
                if update.member.state != record.member.state {
                    record.since = now;
                }
                record.accusers = update.accuser.clone().into_iter().collect();
                record.doubted = false;
                record.held = record.held && update.member.state != State::Alive;
                self.replace(index, update.member.clone());
                self.queue_rumor(update, propagation);
                Outcome::Applied
            }
        }
    }

    /// Adds a further accuser, which shortens the suspicion and is therefore gossiped.
    fn add_accuser(&mut self, index: usize, update: Update, propagation: Propagation) -> Outcome {
        let record = &mut self.records[index];
        let Some(accuser) = update.accuser.clone() else {
            return Outcome::Duplicate;
        };
        let known = record.accusers.contains(&accuser);
        if known || record.accusers.len() > Suspicion::CONFIRMATIONS {
            return Outcome::Duplicate;
        }
        record.accusers.push(accuser);
        self.queue_rumor(update, propagation);
        Outcome::Applied
    }

    fn replace(&mut self, index: usize, member: rc::Rc<Member>) {
        let before = std::mem::replace(&mut self.records[index].member, member.clone());
        self.digest.remove(&before);
        self.digest.add(&member);
        self.update_suspects(&member);
        if member.node == self.own {
            self.rumors.add(Update::of(member));
        }
        self.generation += 1;
    }

    fn queue_rumor(&mut self, update: Update, propagation: Propagation) {
        if propagation == Propagation::Gossip {
            self.rumors.add(update);
        }
    }

    fn update_suspects(&mut self, member: &Member) {
        let index = self.suspects.binary_search(&member.node);
        match (index, member.state) {
            (Err(index), State::Suspect) => self.suspects.insert(index, member.node.clone()),
            (Ok(index), State::Alive | State::Dead | State::Left) => {
                self.suspects.remove(index);
            }
            _ => {}
        }
    }
}

impl Record {
    fn new(member: rc::Rc<Member>, now: time::Instant) -> Self {
        Self {
            member,
            since: now,
            accusers: Vec::new(),
            held: false,
            doubted: false,
        }
    }

    /// Returns the member as shown in a view; `unreachable` applies to its data centre.
    fn view_member(&self, unreachable: bool) -> rc::Rc<Member> {
        let held_dead = self.held && self.member.state == State::Dead;
        let doubted_alive = (self.doubted || unreachable) && self.member.state == State::Alive;
        if held_dead || doubted_alive {
            let mut member = Member::clone(&self.member);
            member.state = State::Suspect;
            rc::Rc::new(member)
        } else {
            self.member.clone()
        }
    }
}
