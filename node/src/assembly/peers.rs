//! The listener for control messages of other nodes.

use error_stack::Report;

use super::{Builder, Error, names};

/// Starts the listener; every service has registered its requests by now.
pub(super) fn start(builder: &mut Builder) -> Result<(), Report<Error>> {
    let address = builder.settings.peer;
    let settings = builder.settings.peers.clone();
    let meter = builder.find(names::METER)?;
    builder.frame.listen_peers(address, settings, meter)
}
