//! The distribution service.

use error_stack::Report;

use super::{Builder, Error, Link, MAILBOX, names};
use crate::dump::Dump;
use crate::metrics::Exporter;

type Distribution = distribution::Service<platform::Client, Link>;

/// Starts the distribution service.
pub(super) fn start(builder: &mut Builder) -> Result<(), Report<Error>> {
    let (mailbox, commands) = kernel::mailbox(MAILBOX);
    builder.offer(names::DISTRIBUTION, mailbox)?;
    let incoming = builder.frame.incoming(Distribution::PEER_NAME)?;
    let settings = builder.settings.clone();
    let service = Distribution::new(distribution::Parts {
        node: settings.node.clone(),
        data_centre: settings.data_centre.clone(),
        store: builder.find(names::STORE)?,
        link: builder.find(names::LINK)?,
        members: builder.find(names::VIEW)?,
        holder: builder.find(names::CONFIGURATION)?,
        commands,
        incoming,
        settings: settings.distribution.clone(),
    });
    let handle = service.handle();
    let dump: Dump = builder.find(names::DUMP)?;
    let shown = handle.clone();
    dump.add("distribution", move || shown.dump());
    let exporter: Exporter = builder.find(names::EXPORTER)?;
    let counted = handle.clone();
    exporter.add_counts("distribution", move || counted.counts());
    let counted = handle.clone();
    exporter.add_counts("distribution.violations", move || counted.violations());
    builder.offer(names::HELD, handle)?;
    builder.frame.kernel.start(service);
    Ok(())
}
