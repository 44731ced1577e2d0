//! The moves service.

use error_stack::Report;

use super::{Builder, Error, Link, MAILBOX, names};
use crate::dump::Dump;
use crate::metrics::Exporter;

type Moves = moves::Moves<platform::Client, Link>;

/// Starts the moves service.
pub(super) fn start(builder: &mut Builder) -> Result<(), Report<Error>> {
    let (mailbox, commands) = kernel::mailbox(MAILBOX);
    builder.offer(names::MOVES, mailbox)?;
    let incoming = builder.frame.incoming(moves::NAME)?;
    let settings = builder.settings.clone();
    let parts = moves::Parts {
        node: settings.node.clone(),
        data_centre: settings.data_centre.clone(),
        settings: settings.moves.clone(),
        store: builder.find(names::STORE)?,
        link: builder.find(names::LINK)?,
        holder: builder.find(names::CONFIGURATION)?,
        distribution: builder.find(names::DISTRIBUTION)?,
        members: builder.find(names::VIEW)?,
        withheld: builder.find(names::WITHHELD)?,
        focus: builder.find(names::FOCUS)?,
    };
    let service = Moves::new(parts, commands, incoming);
    let reader = service.reader();
    let dump: Dump = builder.find(names::DUMP)?;
    let shown = reader.clone();
    dump.add("moves", move || shown.dump());
    let exporter: Exporter = builder.find(names::EXPORTER)?;
    exporter.add_counts("moves", move || reader.counts());
    builder.offer(names::RECORDER, service.recorder())?;
    builder.frame.kernel.start(service);
    Ok(())
}
