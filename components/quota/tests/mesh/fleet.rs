//! Wallets and granters of some nodes, with the messages between them.

use std::time::Duration;

use membership::{Member, State};
use quota::{Candidates, Granter, Limit, Settings, Take, Wallet, rank};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use schema::quota as wire;
use units::{Node, Uptime};

/// Time of one step.
pub(crate) const STEP: Duration = Duration::from_millis(5);
/// Time between two looks at the members.
const LOOK: Duration = Duration::from_millis(100);
/// Time after which members learn that one is gone.
const NOTICE: Duration = Duration::from_secs(1);
/// Longest time that a request waits for a token.
const PATIENCE: Duration = Duration::from_millis(200);

/// One node.
pub(crate) struct Machine {
    pub(crate) node: Node,
    /// Random number of the process.
    id: u64,
    /// Time of the last look at the members.
    looked: Option<Duration>,
    wallet: Wallet,
    granter: Granter,
    /// Clock of the node at the start of the drive.
    clock: Duration,
    pub(crate) running: bool,
    changed: Duration,
    /// Part of the mesh that it reaches.
    pub(crate) side: u32,
    /// Time until which it is frozen.
    pub(crate) frozen: Duration,
    /// Members that it does not know.
    pub(crate) unknown: Vec<usize>,
    waiting: Vec<Request>,
    timeouts: Vec<(Duration, u64)>,
}

#[derive(Clone, Copy)]
struct Request {
    workspace: u64,
    until: Duration,
}

enum Message {
    Report(usize, wire::Report),
    Reply(u64, u64, wire::Reply),
}

/// What became of the requests of one workspace.
#[derive(Default, Clone)]
pub(crate) struct Tally {
    pub(crate) workspace: u64,
    /// Times at which tokens were taken.
    pub(crate) used: Vec<Duration>,
    /// Times of requests.
    pub(crate) asked: Vec<Duration>,
    pub(crate) refused_at_once: usize,
    pub(crate) refused_late: usize,
}

pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) machines: Vec<Machine>,
    pub(crate) tallies: Vec<Tally>,
    pub(crate) settings: Settings,
    limits: Vec<Limit>,
    messages: Vec<(Duration, usize, Message)>,
    pub(crate) random: StdRng,
    /// Part of the messages that are lost.
    pub(crate) loss: f64,
    /// Longest delay of a message.
    pub(crate) delay: Duration,
    pub(crate) reports: usize,
}

impl Fleet {
    pub(crate) fn new(seed: u64, nodes: usize, workspaces: &[config::Workspace]) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let settings = Settings::default();
        let limits = Limit::of(workspaces, &settings.terms());
        let mut fleet = Self {
            now: Duration::ZERO,
            machines: Vec::new(),
            tallies: Vec::new(),
            settings,
            limits: limits.clone(),
            messages: Vec::new(),
            random: StdRng::seed_from_u64(random.random()),
            loss: 0.0,
            delay: Duration::from_millis(20),
            reports: 0,
        };
        for limit in &limits {
            fleet.tallies.push(Tally {
                workspace: limit.workspace,
                ..Tally::default()
            });
        }
        for index in 0..nodes {
            let clock = Duration::from_millis(random.random_range(1_000..9_000_000));
            fleet
                .machines
                .push(fleet.machine(index, clock, &mut random));
        }
        fleet
    }

    fn machine(&self, index: usize, clock: Duration, random: &mut StdRng) -> Machine {
        let now = Uptime(clock + self.now);
        let id = random.random::<u64>().max(1);
        let mut wallet = Wallet::new(id, now);
        let mut granter = Granter::new(id, self.settings.clone());
        wallet.configure(&self.limits, now);
        granter.configure(self.limits.clone(), now);
        Machine {
            node: format!("n{index}").parse().expect("a node"),
            id,
            looked: None,
            wallet,
            granter,
            clock,
            running: true,
            changed: Duration::ZERO,
            side: 0,
            frozen: Duration::ZERO,
            unknown: Vec::new(),
            waiting: Vec::new(),
            timeouts: Vec::new(),
        }
    }

    /// The node that is first to be the granter.
    pub(crate) fn first(&self) -> usize {
        let machines = self.machines.iter().enumerate();
        let first = machines.max_by_key(|(_, machine)| rank(&machine.node));
        first.map(|(index, _)| index).expect("a node")
    }

    /// Nodes that grant.
    pub(crate) fn granting(&self) -> Vec<usize> {
        let indices = 0..self.machines.len();
        let is_granting = |index: &usize| {
            let machine = &self.machines[*index];
            machine.running && machine.granter.is_granting()
        };
        indices.filter(is_granting).collect()
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.machines[index].running = false;
        self.machines[index].changed = self.now;
        self.machines[index].waiting.clear();
    }

    pub(crate) fn restart(&mut self, index: usize) {
        let clock = self.machines[index].clock;
        let side = self.machines[index].side;
        let seed = self.random.random();
        self.machines[index] = self.machine(index, clock, &mut StdRng::seed_from_u64(seed));
        self.machines[index].side = side;
        self.machines[index].changed = self.now;
    }

    /// Applies a configuration on all nodes.
    pub(crate) fn configure(&mut self, workspaces: &[config::Workspace]) {
        self.limits = Limit::of(workspaces, &self.settings.terms());
        for index in 0..self.machines.len() {
            self.configure_one(index);
        }
    }

    pub(crate) fn configure_one(&mut self, index: usize) {
        let (now, limits) = (self.now, self.limits.clone());
        let machine = &mut self.machines[index];
        let clock = machine.uptime(now);
        machine.wallet.configure(&limits, clock);
        machine.granter.configure(limits, clock);
    }

    /// A request of a workspace comes to a node.
    pub(crate) fn request(&mut self, index: usize, workspace: u64) {
        let now = self.now;
        self.tally(workspace).asked.push(now);
        let machine = &mut self.machines[index];
        if !machine.running || machine.frozen > now {
            return;
        }
        let clock = machine.uptime(now);
        machine.wallet.arrive(workspace, clock);
        let until = now + PATIENCE;
        let request = Request { workspace, until };
        match machine.wallet.take(workspace, clock) {
            Take::Taken(_) => self.tally(workspace).used.push(now),
            Take::Exhausted(_) => self.tally(workspace).refused_at_once += 1,
            Take::Missing => {
                let intervals = machine.intervals(&self.settings);
                machine.wallet.wait(workspace, intervals);
                machine.waiting.push(request);
            }
            Take::Unlimited => panic!("the workspace has a limit"),
        }
    }

    /// Passes one step of time.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, ..)| *at <= now);
        self.messages = later;
        for (at, to, message) in due {
            let machine = &self.machines[to];
            if machine.frozen > now {
                self.messages.push((machine.frozen.max(at), to, message));
            } else if machine.running {
                self.deliver(to, message);
            }
        }
        for index in 0..self.machines.len() {
            let machine = &self.machines[index];
            if machine.running && machine.frozen <= now {
                self.run(index);
            }
        }
    }

    fn deliver(&mut self, to: usize, message: Message) {
        let now = self.now;
        let clock = self.machines[to].uptime(now);
        match message {
            Message::Report(from, report) => {
                let node = self.machines[from].node.clone();
                let machine = &mut self.machines[to];
                let mut reply = machine.granter.receive(&node, &report, clock);
                let granter = machine.wallet.granter().filter(|one| **one != machine.node);
                if reply.term == 0 {
                    reply.ask = granter.map(Node::to_string).unwrap_or_default();
                }
                let message = Message::Reply(report.wallet, report.sequence, reply);
                self.send(to, from, message);
            }
            Message::Reply(id, sequence, reply) => {
                let machine = &mut self.machines[to];
                if machine.id != id {
                    return;
                }
                let intervals = machine.intervals(&self.settings);
                machine.wallet.apply(sequence, &reply, intervals, clock);
                machine.timeouts.retain(|(_, one)| *one != sequence);
                self.serve_waiting(to);
            }
        }
    }

    fn run(&mut self, index: usize) {
        let now = self.now;
        self.look(index);
        let machine = &mut self.machines[index];
        let clock = machine.uptime(now);
        machine.granter.settle(clock);
        let intervals = machine.intervals(&self.settings);
        for (_, sequence) in machine.timeouts.extract_if(.., |(at, _)| *at <= now) {
            machine.wallet.fail(sequence, intervals, clock);
        }
        if machine.wallet.next().is_some_and(|next| next <= clock) {
            self.report(index, intervals);
        }
        self.serve_waiting(index);
    }

    /// Records the members now and then.
    fn look(&mut self, index: usize) {
        let now = self.now;
        let is_recent = |looked: Duration| now - looked < LOOK;
        if !self.machines[index].looked.is_some_and(is_recent) {
            let view = self.view(index);
            let machine = &mut self.machines[index];
            let clock = machine.uptime(now);
            machine.granter.observe(view.iter(), clock);
            machine.looked = Some(now);
        }
    }

    fn report(&mut self, index: usize, intervals: quota::Intervals) {
        let now = self.now;
        let members = self.view(index).into_iter().map(std::rc::Rc::new);
        let view = membership::View::new(members.collect(), 1);
        let ranked = Candidates::default().of(&view);
        let nodes: Vec<_> = ranked.iter().map(|member| member.node.clone()).collect();
        let machine = &mut self.machines[index];
        let clock = machine.uptime(now);
        let electorate = machine.granter.electorate();
        let sent = machine
            .wallet
            .report(&nodes, electorate, true, intervals, clock);
        if let Some(sent) = sent {
            let timeout = now + intervals.timeout();
            machine.timeouts.push((timeout, sent.report.sequence));
            self.reports += 1;
            let to = self.machines.iter().position(|one| one.node == sent.to);
            let to = to.expect("a node");
            self.send(index, to, Message::Report(index, sent.report));
        }
    }

    fn serve_waiting(&mut self, index: usize) {
        let now = self.now;
        let waiting = std::mem::take(&mut self.machines[index].waiting);
        for request in waiting {
            let machine = &mut self.machines[index];
            let clock = machine.uptime(now);
            machine.wallet.end_wait(request.workspace);
            match machine.wallet.take(request.workspace, clock) {
                Take::Taken(_) => self.tally(request.workspace).used.push(now),
                Take::Exhausted(_) => self.tally(request.workspace).refused_at_once += 1,
                _ if request.until <= now => self.tally(request.workspace).refused_late += 1,
                _ => {
                    let intervals = machine.intervals(&self.settings);
                    machine.wallet.wait(request.workspace, intervals);
                    machine.waiting.push(request);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if from == to {
            self.messages.push((self.now, to, message));
            return;
        }
        let is_cut = self.machines[from].side != self.machines[to].side;
        if is_cut || self.random.random_bool(self.loss) {
            return;
        }
        let micros = self
            .random
            .random_range(1_000..self.delay.as_micros() as u64);
        self.messages
            .push((self.now + Duration::from_micros(micros), to, message));
    }

    /// Members as a node sees them: what is gone or cut off is noticed after a while.
    fn view(&self, index: usize) -> Vec<Member> {
        let own = &self.machines[index];
        let known = self.machines.iter().enumerate();
        let known = known.filter(|(other, _)| !own.unknown.contains(other));
        let members = known.map(|(_, machine)| {
            let is_old = self.now.saturating_sub(machine.changed) >= NOTICE;
            let is_reached = machine.side == own.side || self.now.is_zero();
            let dead = !machine.running && is_old || !is_reached;
            member(&machine.node, if dead { State::Dead } else { State::Alive })
        });
        members.collect()
    }

    pub(crate) fn tally(&mut self, workspace: u64) -> &mut Tally {
        let place = self
            .tallies
            .iter()
            .position(|one| one.workspace == workspace);
        let index = place.unwrap_or_else(|| {
            self.tallies.push(Tally {
                workspace,
                ..Tally::default()
            });
            self.tallies.len() - 1
        });
        &mut self.tallies[index]
    }
}

impl Machine {
    fn uptime(&self, now: Duration) -> Uptime {
        Uptime(self.clock + now)
    }

    fn intervals(&self, settings: &Settings) -> quota::Intervals {
        settings.intervals(self.granter.electorate())
    }
}

impl Tally {
    /// Most tokens that were used in one window.
    pub(crate) fn most_used(&self, window: Duration) -> usize {
        let mut used = self.used.clone();
        used.sort_unstable();
        let windows = used.iter().enumerate().map(|(index, start)| {
            let end = used.partition_point(|time| *time < *start + window);
            end - index
        });
        windows.max().unwrap_or_default()
    }

    pub(crate) fn used_between(&self, from: Duration, to: Duration) -> usize {
        count(&self.used, from, to)
    }

    pub(crate) fn asked_between(&self, from: Duration, to: Duration) -> usize {
        count(&self.asked, from, to)
    }
}

fn count(times: &[Duration], from: Duration, to: Duration) -> usize {
    let is_within = |time: &&Duration| **time >= from && **time < to;
    times.iter().filter(is_within).count()
}

fn member(node: &Node, state: State) -> Member {
    let any: units::Address = "127.0.0.1:1".parse().expect("an address");
    Member {
        node: node.clone(),
        data_centre: "ba".parse().expect("a data centre"),
        peer_address: any,
        mesh_address: any,
        incarnation: 1,
        state,
        backend: None,
    }
}
