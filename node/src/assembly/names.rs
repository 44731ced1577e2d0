//! Names under which the services of a node offer their handles.

/// `admin::Admin`.
pub(super) const ADMIN: &str = "admin";
/// `kernel::Mailbox<announce::Message>`.
pub(super) const ANNOUNCEMENTS: &str = "announcements";
/// `distribution::Holder`.
pub(super) const CONFIGURATION: &str = "configuration";
/// `kernel::Mailbox<operator::Query>`.
pub(super) const DESK: &str = "desk";
/// `kernel::Mailbox<distribution::Command>`.
pub(super) const DISTRIBUTION: &str = "distribution";
/// `dump::Dump`.
pub(super) const DUMP: &str = "dump";
/// `metrics::Exporter`.
pub(super) const EXPORTER: &str = "exporter";
/// `routing::Focus`.
pub(super) const FOCUS: &str = "focus";
/// `distribution::Handle`.
pub(super) const HELD: &str = "held";
/// `call::Ingress`.
pub(super) const INGRESS: &str = "ingress";
/// `peer::Client`.
pub(super) const LINK: &str = "link";
/// `kernel::Mailbox<membership::Command>`.
pub(super) const MEMBERSHIP: &str = "membership";
/// `peer::Meter`.
pub(super) const METER: &str = "meter";
/// `kernel::Mailbox<moves::Command>`.
pub(super) const MOVES: &str = "moves";
/// `call::Owner`.
pub(super) const OWNER: &str = "owner";
/// `moves::Recorder`.
pub(super) const RECORDER: &str = "recorder";
/// `membership::Reader`.
pub(super) const VIEW: &str = "view";
/// `platform::Client`.
pub(super) const STORE: &str = "store";
/// `routing::Withheld`.
pub(super) const WITHHELD: &str = "withheld";
