//! The request path.

use std::rc;

use error_stack::Report;

use super::{Builder, Error, Link, MAILBOX, names};
use crate::announce;
use crate::call::{Context, Ingress, Native, Owner};
use crate::dump::Dump;
use crate::metrics::Exporter;

/// Starts what takes requests and announcements.
pub(super) fn start(builder: &mut Builder) -> Result<(), Report<Error>> {
    let settings = builder.settings.clone();
    let context = Context {
        node: settings.node.clone(),
        data_centre: settings.data_centre.clone(),
        holder: builder.find(names::CONFIGURATION)?,
        certainty: relay::Certainty::default(),
        members: builder.find(names::VIEW)?,
        withheld: builder.find(names::WITHHELD)?,
        splits: routing::Splits::default(),
        focus: builder.find(names::FOCUS)?,
        evacuations: routing::Evacuations::default(),
        regions: routing::Regions::default(),
        quota: quota::Handle::default(),
        dialect: Native,
        settings: rc::Rc::new(settings.requests.clone()),
    };
    let link: Link = builder.find(names::LINK)?;
    let owner = Owner::new(context.clone(), link);
    let ingress = Ingress::new(context, builder.find(names::RECORDER)?, owner.clone());
    builder.frame.start_suspects(owner.clone())?;
    start_announcements(builder, owner.clone())?;
    builder.frame.start_maintenance(ingress.clone());
    show(builder, &owner, &ingress)?;
    builder.offer(names::OWNER, owner)?;
    builder.offer(names::INGRESS, ingress)
}

fn start_announcements(builder: &mut Builder, owner: Owner<Link>) -> Result<(), Report<Error>> {
    let (mailbox, inbox) = kernel::mailbox(MAILBOX);
    builder.offer(names::ANNOUNCEMENTS, mailbox)?;
    let members = builder.find(names::MEMBERSHIP)?;
    let lease = builder.settings.membership.lease.0;
    let desk = announce::Desk::new(inbox, owner, members, lease);
    builder.frame.kernel.start(desk);
    Ok(())
}

fn show(
    builder: &Builder,
    owner: &Owner<Link>,
    ingress: &Ingress<Link, moves::Recorder>,
) -> Result<(), Report<Error>> {
    let dump: Dump = builder.find(names::DUMP)?;
    let exporter: Exporter = builder.find(names::EXPORTER)?;
    let shown = owner.clone();
    dump.add("owner", move || shown.dump());
    let shown = ingress.clone();
    dump.add("ingress", move || shown.counts());
    let counted = owner.clone();
    exporter.add_counts("owner", move || counted.counts());
    let counted = owner.clone();
    exporter.add_counts("admission", move || counted.admission_counts());
    let counted = ingress.clone();
    exporter.add_counts("ingress", move || counted.counts());
    Ok(())
}
