//! The distribution service.

use std::rc;

use futures_util::future;

use crate::accept::{self, Pending};
use crate::core::Core;
use crate::state::State;
use crate::{Command, Handle, Holder, Settings, Verdict};
use crate::{checkpointing, join, repair, serve, status, watch};

/// Accepts changes, maintains the configuration and exchanges it with other nodes.
pub struct Service<S, L> {
    core: rc::Rc<Core<S, L>>,
    commands: kernel::Inbox<Command>,
    incoming: kernel::Inbox<peer::Incoming>,
}

/// Dependencies of the service.
pub struct Parts<S, L> {
    /// This node.
    pub node: units::Node,
    /// Data centre of this node.
    pub data_centre: units::DataCentre,
    /// The platform's object API.
    pub store: S,
    /// Sends requests to other nodes.
    pub link: L,
    /// The other nodes.
    pub members: membership::Reader,
    /// Holder that receives the configuration in force.
    pub holder: Holder,
    /// Commands from other services.
    pub commands: kernel::Inbox<Command>,
    /// Requests from other nodes to the service [`Service::PEER_NAME`].
    pub incoming: kernel::Inbox<peer::Incoming>,
    /// Settings.
    pub settings: Settings,
}

impl<S: platform::Store, L: peer::Link> Service<S, L> {
    /// Name under which the peer component delivers requests from other nodes.
    pub const PEER_NAME: &'static str = crate::core::SERVICE;

    /// Creates a service without starting it.
    #[must_use]
    pub fn new(parts: Parts<S, L>) -> Self {
        let state = State::new(parts.node, parts.data_centre, parts.holder, parts.settings);
        let core = Core::new(rc::Rc::new(state), parts.store, parts.link, parts.members);
        Self {
            core: rc::Rc::new(core),
            commands: parts.commands,
            incoming: parts.incoming,
        }
    }

    /// Returns a handle that reads the state of the service, also while it runs.
    #[must_use]
    pub fn handle(&self) -> Handle {
        Handle::new(self.core.state.clone())
    }
}

impl<S: platform::Store, L: peer::Link> kernel::Service for Service<S, L> {
    const NAME: &'static str = "distribution";

    async fn run(self, stop: kernel::Stop) {
        let core = self.core;
        let (accept_queue, pending) = kernel::mailbox(core.state.settings.pending);
        let spawn = |task| compio::runtime::spawn(task);
        let commands = spawn(Box::pin(run_commands(
            core.clone(),
            self.commands,
            accept_queue,
            stop.clone(),
        )) as Task);
        let incoming = run_incoming(core.clone(), self.incoming, stop.clone());
        let tasks = vec![
            commands,
            spawn(Box::pin(incoming)),
            spawn(Box::pin(accept::run(core.clone(), pending, stop.clone()))),
            spawn(Box::pin(watch::run(core.clone(), stop.clone()))),
            spawn(Box::pin(join::run(core.clone(), stop.clone()))),
            spawn(Box::pin(repair::run(core.clone(), stop.clone()))),
            spawn(Box::pin(checkpointing::run(core, stop))),
        ];
        for result in future::join_all(tasks).await {
            if result.is_err() {
                log::error!("a task of the distribution service panicked");
            }
        }
    }
}

type Task = std::pin::Pin<Box<dyn Future<Output = ()>>>;

async fn run_incoming<S: platform::Store, L: peer::Link>(
    core: rc::Rc<Core<S, L>>,
    mut inbox: kernel::Inbox<peer::Incoming>,
    stop: kernel::Stop,
) {
    while let Some(Some(incoming)) = stop.guard(inbox.receive()).await {
        serve::handle(&core, incoming);
    }
}

async fn run_commands<S: platform::Store, L: peer::Link>(
    core: rc::Rc<Core<S, L>>,
    mut inbox: kernel::Inbox<Command>,
    accept_queue: kernel::Mailbox<Pending>,
    stop: kernel::Stop,
) {
    while let Some(Some(command)) = stop.guard(inbox.receive()).await {
        dispatch(&core, command, &accept_queue);
    }
}

fn dispatch<S: platform::Store, L: peer::Link>(
    core: &rc::Rc<Core<S, L>>,
    command: Command,
    accept_queue: &kernel::Mailbox<Pending>,
) {
    match command {
        Command::Accept {
            change,
            dry_run,
            answer,
        } => {
            let pending = Pending {
                change,
                dry_run,
                answer,
            };
            if let Err((_, refused)) = accept_queue.offer(pending) {
                let _ = refused.answer.send(Verdict::Unavailable);
            }
        }
        Command::Settle { operation, answer } => {
            compio::runtime::spawn(accept::query_operation(core.clone(), operation, answer))
                .detach();
        }
        Command::Status { version, answer } => {
            let core = core.clone();
            compio::runtime::spawn(async move {
                let _ = answer.send(status::run(core, version).await);
            })
            .detach();
        }
    }
}
