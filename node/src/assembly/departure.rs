//! Tells the mesh that the node leaves, before its listeners close.

use std::time;

use error_stack::Report;
use futures_channel::oneshot;

use super::{Builder, Error, names};

/// Longest time that the news of the departure may take to be sent.
const NEWS_LIMIT: time::Duration = time::Duration::from_secs(3);

/// Starts the task that is the first to stop: it announces the departure while the node serves.
pub(super) fn start(builder: &mut Builder) -> Result<(), Report<Error>> {
    let members = builder.find(names::MEMBERSHIP)?;
    builder
        .frame
        .kernel
        .start_task("departure", |stop| async move {
            stop.requested().await;
            announce(&members).await;
        });
    Ok(())
}

async fn announce(members: &kernel::Mailbox<membership::Command>) {
    let (done, sent) = oneshot::channel();
    if let Err(error) = members.send(membership::Command::Drain { done }) {
        log::warn!(error:% = error; "the departure is not announced");
        return;
    }
    if compio::time::timeout(NEWS_LIMIT, sent).await.is_err() {
        log::warn!("the departure may not be known everywhere");
    }
}
