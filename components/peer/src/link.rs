//! Interface for requests to other nodes.

use std::time;

use crate::Error;

/// Sender of requests to other nodes; clones share the connections.
pub trait Link: Clone + 'static {
    /// Sends `payload` to `service` on the node at `to` and waits up to `timeout` for the answer.
    fn call(
        &self,
        to: units::Address,
        service: &'static str,
        payload: Vec<u8>,
        timeout: time::Duration,
    ) -> impl Future<Output = Result<Vec<u8>, Error>>;
}
