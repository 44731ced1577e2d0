//! The listener for control messages of other nodes.

use error_stack::{Report, ResultExt};

use super::{Builder, Error, names};

/// Starts the listener; every service has registered its requests by now.
pub(super) fn start(builder: &mut Builder) -> Result<(), Report<Error>> {
    let address = builder.settings.peer;
    let meter = builder.find(names::METER)?;
    let settings = builder.settings.peers.clone();
    let router = std::mem::take(&mut builder.router);
    let bound = peer::Server::bind(address, router, settings, meter);
    let server = bound.change_context(Error::Listen("peer", address))?;
    builder.kernel.start(server);
    Ok(())
}
