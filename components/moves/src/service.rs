//! The service.

use std::rc;

use futures_util::future;
use kernel::Inbox;
use peer::Incoming;

use crate::shared::{NAME, Shared};
use crate::{
    Command, Dump, Parts, Recorder, Shard, Snapshot, gather, gossip, keeper, serve, sync, watcher,
};

/// The service that runs moves and withholds bad versions.
pub struct Moves<S, L> {
    shared: rc::Rc<Shared<S, L>>,
    commands: Inbox<Command>,
    incoming: Inbox<Incoming>,
}

/// Reads the state of the service; clones read the same.
pub struct Reader<S, L> {
    shared: rc::Rc<Shared<S, L>>,
}

impl<S, L> Clone for Reader<S, L> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

impl<S: platform::Store, L: peer::Link> Reader<S, L> {
    /// Counts since the start.
    #[must_use]
    pub fn counts(&self) -> Snapshot {
        self.shared.tally.snapshot()
    }

    /// The whole state.
    #[must_use]
    pub fn dump(&self) -> Dump {
        Dump::of(&self.shared)
    }
}

impl<S: platform::Store, L: peer::Link> Moves<S, L> {
    /// A service that takes commands of operators and requests of other nodes; the latter are
    /// addressed to [`NAME`].
    #[must_use]
    pub fn new(parts: Parts<S, L>, commands: Inbox<Command>, incoming: Inbox<Incoming>) -> Self {
        Self {
            shared: Shared::new(parts),
            commands,
            incoming,
        }
    }

    /// Takes the samples of requests.
    #[must_use]
    pub fn recorder(&self) -> Recorder {
        self.shared.recorder.clone()
    }

    /// Reads the state of the service.
    #[must_use]
    pub fn reader(&self) -> Reader<S, L> {
        Reader {
            shared: self.shared.clone(),
        }
    }
}

impl<S: platform::Store, L: peer::Link> kernel::Service for Moves<S, L> {
    const NAME: &'static str = NAME;

    async fn run(self, stop: kernel::Stop) {
        let shared = self.shared;
        let keepers = Shard::all().map(|shard| keeper::run(shared.clone(), shard, stop.clone()));
        future::join5(
            serve_commands(shared.clone(), self.commands, stop.clone()),
            serve_requests(shared.clone(), self.incoming, stop.clone()),
            future::join_all(keepers),
            future::join(
                gather::run(shared.clone(), stop.clone()),
                gossip::run(shared.clone(), stop.clone()),
            ),
            future::join(
                sync::run(shared.clone(), stop.clone()),
                watcher::run(shared.clone(), stop.clone()),
            ),
        )
        .await;
    }
}

/// Handles each command in a task of its own, since some wait for the platform.
async fn serve_commands<S, L>(
    shared: rc::Rc<Shared<S, L>>,
    mut commands: Inbox<Command>,
    stop: kernel::Stop,
) where
    S: platform::Store,
    L: peer::Link,
{
    while let Some(Some(command)) = stop.guard(commands.receive()).await {
        let handled = serve::command(shared.clone(), command, stop.clone());
        compio::runtime::spawn(handled).detach();
    }
}

async fn serve_requests<S, L>(
    shared: rc::Rc<Shared<S, L>>,
    mut incoming: Inbox<Incoming>,
    stop: kernel::Stop,
) where
    S: platform::Store,
    L: peer::Link,
{
    while let Some(Some(request)) = stop.guard(incoming.receive()).await {
        serve::request(&shared, request);
    }
}
