//! The records of all members and how news changes them.

use std::cmp;
use std::rc;
use std::time;

use crate::digest::is_running;
use crate::{Digest, Member, Phase, Rumors, State, Suspicion, Update, View};

/// The records of all members that a node keeps, itself included.
#[derive(Debug)]
pub struct Table {
    own: units::Node,
    /// Sorted by node.
    records: Vec<Record>,
    /// Suspect members, sorted by node.
    suspects: Vec<units::Node>,
    digest: Digest,
    rumors: Rumors,
    /// Data centres that cannot be reached, sorted.
    lost: Vec<units::DataCentre>,
    limit: usize,
    generation: u64,
    refuted: u64,
    ignored: u64,
    /// Start of the backend server beside this node that others know to leave.
    departed: Option<u64>,
}

/// What is kept of one member.
#[derive(Debug, Clone)]
pub struct Record {
    /// The newest news.
    pub member: rc::Rc<Member>,
    /// When it came into its state.
    pub since: time::Instant,
    /// Nodes that suspect it.
    pub accusers: Vec<units::Node>,
    /// It is silent together with many others, and is shown as suspect rather than dead.
    pub held: bool,
    /// It does not answer this node, which cannot tell whether that is its own fault.
    pub doubted: bool,
}

/// Whether news is passed on by gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// It is passed on.
    Gossip,
    /// It is not: it came in bulk, and the others have it already or get it the same way.
    Bulk,
}

/// What a piece of news changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was news.
    News,
    /// It was known.
    Known,
    /// What is known is newer.
    Older,
    /// It is of no use here, such as the death of an unknown member.
    Ignored,
    /// It was wrong about this node, which has raised its incarnation.
    Refuted,
}

impl Table {
    /// A table with this node only.
    #[must_use]
    pub fn new(own: Member, limit: usize, now: time::Instant) -> Self {
        let mut table = Self {
            own: own.node.clone(),
            records: Vec::new(),
            suspects: Vec::new(),
            digest: Digest::default(),
            rumors: Rumors::default(),
            lost: Vec::new(),
            limit,
            generation: 1,
            refuted: 0,
            ignored: 0,
            departed: None,
        };
        table.digest.add(&own);
        let own = rc::Rc::new(own);
        table.rumors.add(Update::of(own.clone()));
        table.records.push(Record::new(own, now));
        table
    }

    /// The record of this node.
    #[must_use]
    pub fn own(&self) -> rc::Rc<Member> {
        let own = self.record(&self.own).map(|record| record.member.clone());
        // The own record is added at the start and never removed.
        own.unwrap_or_else(|| unreachable!("the own record is always kept"))
    }

    /// All records, sorted by node.
    #[must_use]
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// The record of `node`.
    #[must_use]
    pub fn record(&self, node: &units::Node) -> Option<&Record> {
        self.place(node).ok().map(|place| &self.records[place])
    }

    /// The suspect members, sorted by node.
    #[must_use]
    pub fn suspects(&self) -> &[units::Node] {
        &self.suspects
    }

    /// Hashes over the running members.
    #[must_use]
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// News to pass on.
    pub fn rumors(&mut self) -> &mut Rumors {
        &mut self.rumors
    }

    /// Raised with each change that a view shows.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Times that this node had to refute news of itself.
    #[must_use]
    pub fn refuted(&self) -> u64 {
        self.refuted
    }

    /// Pieces of news that were of no use.
    #[must_use]
    pub fn ignored(&self) -> u64 {
        self.ignored
    }

    /// Start of the backend server beside this node that others know to leave, from an earlier start of
    /// this node.
    #[must_use]
    pub fn departed(&self) -> Option<u64> {
        self.departed
    }

    /// Takes in a piece of news at `now` and passes it on by gossip.
    pub fn apply(&mut self, update: Update, now: time::Instant) -> Outcome {
        self.learn(update, Way::Gossip, now)
    }

    /// Takes in a piece of news at `now`.
    pub fn learn(&mut self, update: Update, way: Way, now: time::Instant) -> Outcome {
        if update.member.node == self.own {
            return self.apply_own(&update.member);
        }
        match self.place(&update.member.node) {
            Ok(place) => self.merge(place, update, way, now),
            Err(place) => self.insert(place, update, way, now),
        }
    }

    /// Changes the record of this node and raises its incarnation.
    pub fn renew(&mut self, change: impl FnOnce(&mut Member)) {
        let mut own = Member::clone(&self.own());
        change(&mut own);
        own.incarnation += 1;
        self.set_own(own);
    }

    /// Passes on the record of this node once more.
    pub fn announce(&mut self) {
        let own = self.own();
        self.rumors.add(Update::of(own));
    }

    /// Suspects `node` on behalf of `accuser`.
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
    pub fn bury(&mut self, node: &units::Node, now: time::Instant) {
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

    /// Notes whether `node` fails to answer this node only.
    pub fn doubt(&mut self, node: &units::Node, doubted: bool) {
        self.mark(node, |record| &mut record.doubted, doubted);
    }

    /// Notes whether `node` is silent together with many others.
    pub fn hold(&mut self, node: &units::Node, held: bool) {
        self.mark(node, |record| &mut record.held, held);
    }

    /// Shows the members of these data centres as suspects: unreachable is not gone.
    pub fn set_lost(&mut self, lost: Vec<units::DataCentre>) {
        if lost != self.lost {
            self.lost = lost;
            self.generation += 1;
        }
    }

    /// Gives every suspect `pause` more time: this process did not run for so long.
    pub fn postpone(&mut self, pause: time::Duration) {
        for node in self.suspects.clone() {
            if let Ok(place) = self.place(&node) {
                self.records[place].since += pause;
            }
        }
    }

    /// Drops members that failed or left longer than `retention` ago.
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

    /// Forgets all members but this node, after a pause in which all news of them was missed.
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

    /// The view that other services see.
    #[must_use]
    pub fn view(&self) -> View {
        let lost = |record: &Record| self.lost.binary_search(&record.member.data_centre).is_ok();
        let shown = self.records.iter().map(|record| record.shown(lost(record)));
        let members = shown.collect();
        View::new(members, self.generation)
    }

    fn place(&self, node: &units::Node) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.member.node.cmp(node))
    }

    fn mark(
        &mut self,
        node: &units::Node,
        flag: impl FnOnce(&mut Record) -> &mut bool,
        value: bool,
    ) {
        let Ok(place) = self.place(node) else {
            return;
        };
        let flag = flag(&mut self.records[place]);
        if *flag != value {
            *flag = value;
            self.generation += 1;
        }
    }

    /// News of this node itself, by others: newer news than its own is refuted.
    fn apply_own(&mut self, member: &Member) -> Outcome {
        let mut own = Member::clone(&self.own());
        self.note_departure(member, &mut own);
        match member.compare(&own) {
            cmp::Ordering::Equal => Outcome::Known,
            cmp::Ordering::Less => Outcome::Older,
            cmp::Ordering::Greater => {
                own.incarnation = member.incarnation + 1;
                self.refuted += 1;
                self.set_own(own);
                Outcome::Refuted
            }
        }
    }

    /// Takes over from a record of an earlier start of this node that its backend server leaves.
    fn note_departure(&mut self, member: &Member, own: &mut Member) {
        let backend = member.backend.as_ref();
        let Some(leaving) = backend.filter(|backend| backend.phase == Phase::Draining) else {
            return;
        };
        self.departed = Some(leaving.instance);
        let held = own.backend.as_mut();
        if let Some(held) = held.filter(|held| held.instance == leaving.instance) {
            held.phase = Phase::Draining;
        }
    }

    fn set_own(&mut self, own: Member) {
        let Ok(place) = self.place(&self.own) else {
            return;
        };
        self.replace(place, rc::Rc::new(own));
    }

    fn insert(&mut self, place: usize, update: Update, way: Way, now: time::Instant) -> Outcome {
        // The death of an unknown member matters to nobody, and adding it would let nodes that drop
        // it at different times give it back to each other for ever.
        if !is_running(&update.member) || self.records.len() >= self.limit {
            self.ignored += 1;
            return Outcome::Ignored;
        }
        self.digest.add(&update.member);
        let mut record = Record::new(update.member.clone(), now);
        record.accusers.extend(update.accuser.clone());
        self.records.insert(place, record);
        self.list_suspect(&update.member);
        self.pass_on(update, way);
        self.generation += 1;
        Outcome::News
    }

    fn merge(&mut self, place: usize, update: Update, way: Way, now: time::Instant) -> Outcome {
        let record = &mut self.records[place];
        match update.member.compare(&record.member) {
            cmp::Ordering::Less => Outcome::Older,
            cmp::Ordering::Equal => self.confirm(place, update, way),
            cmp::Ordering::Greater => {
                if update.member.state != record.member.state {
                    record.since = now;
                }
                record.accusers = update.accuser.clone().into_iter().collect();
                record.doubted = false;
                record.held = record.held && update.member.state != State::Alive;
                self.replace(place, update.member.clone());
                self.pass_on(update, way);
                Outcome::News
            }
        }
    }

    /// A further accuser shortens the suspicion, and so is passed on.
    fn confirm(&mut self, place: usize, update: Update, way: Way) -> Outcome {
        let record = &mut self.records[place];
        let Some(accuser) = update.accuser.clone() else {
            return Outcome::Known;
        };
        let known = record.accusers.contains(&accuser);
        if known || record.accusers.len() > Suspicion::CONFIRMATIONS {
            return Outcome::Known;
        }
        record.accusers.push(accuser);
        self.pass_on(update, way);
        Outcome::News
    }

    fn replace(&mut self, place: usize, member: rc::Rc<Member>) {
        let before = std::mem::replace(&mut self.records[place].member, member.clone());
        self.digest.remove(&before);
        self.digest.add(&member);
        self.list_suspect(&member);
        if member.node == self.own {
            self.rumors.add(Update::of(member));
        }
        self.generation += 1;
    }

    fn pass_on(&mut self, update: Update, way: Way) {
        if way == Way::Gossip {
            self.rumors.add(update);
        }
    }

    fn list_suspect(&mut self, member: &Member) {
        let place = self.suspects.binary_search(&member.node);
        match (place, member.state) {
            (Err(place), State::Suspect) => self.suspects.insert(place, member.node.clone()),
            (Ok(place), State::Alive | State::Dead | State::Left) => {
                self.suspects.remove(place);
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

    /// The member as a view shows it; `lost` says that its data centre cannot be reached.
    fn shown(&self, lost: bool) -> rc::Rc<Member> {
        let softened = self.held && self.member.state == State::Dead;
        let doubted = (self.doubted || lost) && self.member.state == State::Alive;
        if softened || doubted {
            let mut member = Member::clone(&self.member);
            member.state = State::Suspect;
            rc::Rc::new(member)
        } else {
            self.member.clone()
        }
    }
}
