//! The operator API's questions about this node, and the administration port.

use error_stack::Report;

use super::{Builder, Error, MAILBOX, names};
use crate::admin::Admin;
use crate::dump::Dump;
use crate::operator::Desk;

/// Starts the desk and offers the administration port.
pub(super) fn start(builder: &mut Builder) -> Result<(), Report<Error>> {
    let (mailbox, inbox) = kernel::mailbox(MAILBOX);
    builder.offer(names::DESK, mailbox)?;
    let dump: Dump = builder.find(names::DUMP)?;
    let holder = builder.find(names::CONFIGURATION)?;
    builder
        .frame
        .kernel
        .start(Desk::new(inbox, holder, dump.clone()));
    let exporter = builder.find(names::EXPORTER)?;
    let held: distribution::Handle = builder.find(names::HELD)?;
    let admin = Admin::new(dump, exporter, move || held.ready());
    builder.offer(names::ADMIN, admin)
}
