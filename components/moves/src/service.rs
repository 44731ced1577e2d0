//! The moves service, which runs the tasks of this crate.

use std::rc;

use futures_util::future;
use kernel::Inbox;
use peer::Incoming;

use crate::shared::{NAME, Shared};
use crate::{
    Command, CounterSnapshot, Dump, Parts, Recorder, Shard, election, gather, gossip, serve, sync,
    watcher,
};

/// Service that runs moves and withholds bad versions.
pub struct Moves<S, L> {
    shared: rc::Rc<Shared<S, L>>,
    commands: Inbox<Command>,
    incoming: Inbox<Incoming>,
}

/// Reader of the state of the service; clones read the same state.
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
    /// Counts since the start of the process.
    #[must_use]
    pub fn counts(&self) -> CounterSnapshot {
        self.shared.tally.snapshot()
    }

    /// Whole state of the service.
    #[must_use]
    pub fn dump(&self) -> Dump {
        Dump::of(&self.shared)
    }
}

impl<S: platform::Store, L: peer::Link> Moves<S, L> {
    /// Creates a service that handles commands of operators, and requests of other nodes addressed
    /// to [`NAME`].
    #[must_use]
    pub fn new(parts: Parts<S, L>, commands: Inbox<Command>, incoming: Inbox<Incoming>) -> Self {
        Self {
            shared: Shared::new(parts),
            commands,
            incoming,
        }
    }

    /// Recorder of request samples.
    #[must_use]
    pub fn recorder(&self) -> Recorder {
        self.shared.recorder.clone()
    }

    /// Reader of the state of the service.
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
        let elections =
            Shard::all().map(|shard| election::run(shared.clone(), shard, stop.clone()));
        future::join5(
            serve_commands(shared.clone(), self.commands, stop.clone()),
            serve_requests(shared.clone(), self.incoming, stop.clone()),
            future::join_all(elections),
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

/// Handles each command in its own task, as some of them wait for the platform.
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
