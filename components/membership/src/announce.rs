//! Announcements of the backend server beside this node.

use std::time;

use schema::announce;

use crate::shared::Shared;
use crate::update::{decode_name, decode_phase};
use crate::{Backend, Phase};

impl<S: platform::Store, L: peer::Link> Shared<S, L> {
    /// Announcements that are due within one lease.
    const ANNOUNCEMENTS: u32 = 3;

    /// Takes an announcement and extends the lease.
    pub(crate) fn announce(
        &self,
        announcement: &announce::Announcement,
    ) -> Result<announce::Acknowledgement, units::Error> {
        let mut backend = read(announcement)?;
        if self.draining.get() {
            backend.phase = Phase::Draining;
        }
        let now = time::Instant::now();
        self.lease.set(Some(now + self.settings.lease.0));
        let mut table = self.table.borrow_mut();
        let known = table.own().backend.as_ref() == Some(&backend);
        if !known {
            table.renew(|own| own.backend = Some(backend));
        }
        let due = self.settings.lease.0 / Self::ANNOUNCEMENTS;
        Ok(announce::Acknowledgement {
            lease_ms: u32::try_from(due.as_millis()).unwrap_or(u32::MAX),
        })
    }
}

fn read(announcement: &announce::Announcement) -> Result<Backend, units::Error> {
    let name = |text: &str| {
        decode_name(text).ok_or_else(|| units::Error::new(text, "a name of 1 to 128 bytes"))
    };
    let phase = decode_phase(announcement.phase);
    let phase = phase.ok_or_else(|| units::Error::new("phase", "starting, ready or draining"))?;
    Ok(Backend {
        service: name(&announcement.service)?,
        version: name(&announcement.version)?,
        slots: announcement.slots,
        connections: announcement.connections,
        phase,
        instance: announcement.instance,
    })
}
