//! What services share without messages.

use error_stack::{Report, ResultExt};

use super::{Builder, Error, Link, names};
use crate::dump::Dump;
use crate::metrics::Exporter;

/// Connections to the platform and to other nodes, and the views for operators.
pub struct Foundation<F = platform::Native> {
    /// Counts control messages.
    pub meter: peer::Meter,
    /// Sends control messages to other nodes.
    pub link: Link,
    /// The platform's store.
    pub store: platform::Client<F>,
    /// State of the process.
    pub dump: Dump,
    /// Metrics of the process.
    pub exporter: Exporter,
}

impl<F: platform::Form> Foundation<F> {
    /// Sets up a node that is `identity`; `store` shows its counts as `store_name`.
    ///
    /// # Errors
    /// [`Error::Platform`] or [`Error::Metrics`].
    pub fn open(
        identity: membership::Identity,
        peers: peer::Settings,
        store: Result<platform::Client<F>, platform::Error>,
        store_name: &'static str,
    ) -> Result<Self, Report<Error>> {
        let meter = peer::Meter::default();
        let link = Link::new(identity.node.clone(), peers, meter.clone());
        let store = store.change_context(Error::Platform)?;
        let metrics = telemetry::Metrics::start().change_context(Error::Metrics)?;
        let exporter = Exporter::new(metrics);
        let dump = Dump::default();
        dump.add("node", move || identity.clone());
        let counted = store.clone();
        dump.add(store_name, move || counted.counts());
        let counted = store.clone();
        exporter.add_counts(store_name, move || counted.counts());
        let counted = meter.clone();
        exporter.add_counts("peer", move || counted.total());
        exporter.add_counts("process", telemetry::Panics::count);
        Ok(Self {
            meter,
            link,
            store,
            dump,
            exporter,
        })
    }
}

/// Offers the shared state, the connections to the platform and to other nodes, and the views for
/// operators.
pub(super) fn offer(builder: &Builder) -> Result<(), Report<Error>> {
    let settings = &builder.settings;
    let store = platform::Client::open(settings.platform, settings.store.clone());
    let identity = settings.identity();
    let base = Foundation::open(identity, settings.peers.clone(), store, "platform")?;
    let counted = base.meter.clone();
    base.dump.add("peer", move || counted.counts());
    builder.offer(names::METER, base.meter)?;
    builder.offer(names::LINK, base.link)?;
    builder.offer(names::STORE, base.store)?;
    builder.offer(names::DUMP, base.dump)?;
    builder.offer(names::EXPORTER, base.exporter)?;
    builder.offer(names::CONFIGURATION, distribution::Holder::default())?;
    builder.offer(names::VIEW, membership::Reader::default())?;
    builder.offer(names::FOCUS, routing::Focus::default())?;
    builder.offer(names::WITHHELD, routing::Withheld::default())
}
