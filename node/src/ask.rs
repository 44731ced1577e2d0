//! Questions of gRPC handlers to services of the node.

use futures_channel::oneshot;

/// Sends a message that carries its own answer, and waits for that answer.
///
/// # Errors
/// `RESOURCE_EXHAUSTED` when the service is behind, `UNAVAILABLE` when it has stopped.
pub async fn ask<M, T>(
    mailbox: &kernel::Mailbox<M>,
    message: impl FnOnce(oneshot::Sender<T>) -> M,
) -> Result<T, tonic::Status> {
    let (sender, receiver) = oneshot::channel();
    mailbox.send(message(sender)).map_err(|error| match error {
        kernel::Error::Full => tonic::Status::resource_exhausted("the node is busy; come back"),
        _ => tonic::Status::unavailable("the node is stopping"),
    })?;
    receiver
        .await
        .map_err(|_| tonic::Status::unavailable("the node is stopping"))
}
