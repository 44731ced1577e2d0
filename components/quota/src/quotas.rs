//! The service that reports for this node's wallet, and grants if this node is the granter.

use std::rc;
use std::time;

use units::Uptime;

use crate::shared::Shared;
use crate::{Counts, Dump, Handle, Settings};

/// Name of the service, also in requests between nodes.
const SERVICE: &str = "quota";

/// Service that enforces the request quota of each workspace over all nodes.
pub struct Quotas<L> {
    shared: rc::Rc<Shared>,
    link: L,
    incoming: kernel::Inbox<peer::Incoming>,
}

/// Parts from which the service is built.
pub struct Parts<L> {
    /// This node.
    pub node: units::Node,
    /// Sends requests to other nodes.
    pub link: L,
    /// The members.
    pub members: membership::Reader,
    /// Returns whether this node has joined, so that the other nodes are known.
    pub joined: Box<dyn Fn() -> bool>,
    /// Configuration in force.
    pub holder: distribution::Holder,
    /// Settings.
    pub settings: Settings,
}

impl<L: peer::Link> Quotas<L> {
    /// Name under which the peer component delivers requests of other nodes.
    pub const PEER_NAME: &'static str = SERVICE;

    /// Longest time between two looks at the configuration and the members.
    const ROUND: time::Duration = time::Duration::from_millis(100);
    /// Shortest pause between two rounds.
    const PAUSE: time::Duration = time::Duration::from_millis(2);

    /// Creates the service, which receives requests of other nodes from `incoming`.
    #[must_use]
    pub fn new(parts: Parts<L>, incoming: kernel::Inbox<peer::Incoming>) -> Self {
        let link = parts.link.clone();
        Self {
            shared: rc::Rc::new(Shared::new(parts)),
            link,
            incoming,
        }
    }

    /// Access for the request path.
    #[must_use]
    pub fn handle(&self) -> Handle {
        Handle::new(self.shared.clone())
    }

    /// Returns a function that reads the counters, also while the service runs.
    pub fn counts(&self) -> impl Fn() -> Counts + use<L> {
        let shared = self.shared.clone();
        move || shared.counts()
    }

    /// Returns a function that reads the state, also while the service runs.
    pub fn dump(&self) -> impl Fn() -> Dump + use<L> {
        let shared = self.shared.clone();
        move || shared.dump()
    }

    /// Sends reports when they are due.
    async fn run_reports(shared: rc::Rc<Shared>, link: L, stop: kernel::Stop) {
        loop {
            let now = Uptime::now();
            shared.refresh(now);
            if let Some((sent, address)) = shared.report(now) {
                let task = Self::send(shared.clone(), link.clone(), sent, address);
                compio::runtime::spawn(task).detach();
            }
            let left = |next: Uptime| next.saturating_since(Uptime::now());
            let wait = shared.next().map_or(Self::ROUND, left);
            let wait = wait.clamp(Self::PAUSE, Self::ROUND);
            let rung = compio::time::timeout(wait, shared.rung());
            if stop.guard(rung).await.is_none() {
                return;
            }
        }
    }

    /// Sends one report and applies its reply.
    async fn send(shared: rc::Rc<Shared>, link: L, sent: crate::Sent, address: units::Address) {
        let sequence = sent.report.sequence;
        if shared.is_own(&sent.to) {
            let reply = shared.grant(&sent.to, &sent.report);
            shared.apply(sequence, Some(&reply));
            return;
        }
        let payload = prost::Message::encode_to_vec(&sent.report);
        let timeout = shared.intervals().timeout();
        let answer = link.call(address, SERVICE, payload, timeout).await;
        shared.receive_reply(sequence, answer);
    }
}

impl<L: peer::Link> kernel::Service for Quotas<L> {
    const NAME: &'static str = SERVICE;

    async fn run(self, stop: kernel::Stop) {
        let reports = Self::run_reports(self.shared.clone(), self.link, stop.clone());
        let reports = compio::runtime::spawn(reports);
        let mut incoming = self.incoming;
        while let Some(Some(request)) = stop.guard(incoming.receive()).await {
            self.shared.serve(request);
        }
        if reports.await.is_err() {
            log::error!("the reports of quotas panicked");
        }
    }
}
