//! What services share without messages.

use error_stack::{Report, ResultExt};

use super::{Builder, Error, Link, names};
use crate::dump::Dump;
use crate::metrics::Exporter;

/// Offers the shared state, the connections to the platform and to other nodes, and the views for
/// operators.
pub(super) fn offer(builder: &Builder) -> Result<(), Report<Error>> {
    let settings = &builder.settings;
    let meter = peer::Meter::default();
    let link = Link::new(settings.node.clone(), settings.peers.clone(), meter.clone());
    let opened = platform::Client::open(settings.platform, settings.store.clone());
    let store = opened.change_context(Error::Platform)?;
    let metrics = telemetry::Metrics::start().change_context(Error::Metrics)?;
    let exporter = Exporter::new(metrics);
    let dump = Dump::default();
    let identity = settings.identity();
    dump.add("node", move || identity.clone());
    let counted = meter.clone();
    dump.add("peer", move || counted.counts());
    let counted = meter.clone();
    exporter.add_counts("peer", move || counted.total());
    let counted = store.clone();
    dump.add("platform", move || counted.counts());
    let counted = store.clone();
    exporter.add_counts("platform", move || counted.counts());
    builder.offer(names::METER, meter)?;
    builder.offer(names::LINK, link)?;
    builder.offer(names::STORE, store)?;
    builder.offer(names::DUMP, dump)?;
    builder.offer(names::EXPORTER, exporter)?;
    builder.offer(names::CONFIGURATION, distribution::Holder::default())?;
    builder.offer(names::VIEW, membership::Reader::default())?;
    builder.offer(names::FOCUS, routing::Focus::default())?;
    builder.offer(names::WITHHELD, routing::Withheld::default())
}
