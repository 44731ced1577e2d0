//! The membership service.

use error_stack::Report;

use super::{Builder, Error, Link, MAILBOX, names};
use crate::dump::Dump;
use crate::metrics::Exporter;

type Members = membership::Members<platform::Client, Link>;

/// Starts the membership service.
pub(super) fn start(builder: &mut Builder) -> Result<(), Report<Error>> {
    let (mailbox, commands) = kernel::mailbox(MAILBOX);
    builder.offer(names::MEMBERSHIP, mailbox)?;
    let requests = builder.frame.incoming(Members::SERVICE)?;
    let settings = builder.settings.clone();
    let members = Members::new(
        settings.identity(),
        settings.seeds.clone(),
        settings.membership.clone(),
        builder.find(names::STORE)?,
        builder.find(names::LINK)?,
        builder.find(names::VIEW)?,
        commands,
        requests,
    );
    let monitor = members.monitor();
    let dump: Dump = builder.find(names::DUMP)?;
    let shown = monitor.clone();
    dump.add("membership", move || shown.dump());
    let exporter: Exporter = builder.find(names::EXPORTER)?;
    exporter.add_counts("membership", move || monitor.counts());
    builder.frame.kernel.start(members);
    Ok(())
}
