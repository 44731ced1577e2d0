//! A checked announcement.

use std::time;

use config::Findings;
use membership::{Backend, Phase};
use schema::announce as wire;

units::record! { eq:
    /// What a backend server says of itself.
    pub struct Notice {
        /// Id that it gives itself; empty where it gives none.
        pub id: compact_str::CompactString,
        /// Where it takes requests.
        pub address: units::Address,
        /// What the mesh shall know of it.
        pub backend: Backend,
        /// Whether it thinks that it is healthy.
        pub healthy: bool,
        /// Its own view of its load.
        pub load: units::Share,
        /// How long it still warms up; `None` where it does not say.
        pub warmup_left: Option<time::Duration>,
    }
}

impl Notice {
    /// Most slots or connections that a backend server may announce.
    const MOST: u32 = 1_000_000;

    /// Checks the wire form.
    ///
    /// # Errors
    /// Everything that is wrong, with JSON pointers into the announcement.
    pub fn decode(wire: &wire::Announcement) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let address = wire.address.parse().ok();
        if address.is_none() {
            let problem = format!("`{}` is not an address", wire.address);
            findings.add("/address", problem, "an IP address and port");
        }
        check_name("/service", &wire.service, &mut findings);
        check_name("/version", &wire.version, &mut findings);
        check_count("/slots", wire.slots, &mut findings);
        check_count("/connections", wire.connections, &mut findings);
        let phase = decode_phase(wire.phase, &mut findings);
        let load = units::Share::from_parts(wire.load.min(units::Share::WHOLE.parts()));
        match (address, phase) {
            (Some(address), Some(phase)) => findings.into_result(Self {
                id: compact_str::CompactString::default(),
                address,
                backend: Backend {
                    service: wire.service.as_str().into(),
                    version: wire.version.as_str().into(),
                    slots: wire.slots,
                    connections: wire.connections,
                    phase,
                    instance: wire.instance,
                },
                healthy: wire.healthy,
                load: load.unwrap_or_default(),
                warmup_left: None,
            }),
            _ => Err(findings),
        }
    }
}

fn check_name(place: &str, name: &str, findings: &mut Findings) {
    if let Err(error) = name.parse::<units::Service>() {
        findings.add(place, format!("`{name}` is not a name"), error.expected);
    }
}

fn check_count(place: &str, count: u32, findings: &mut Findings) {
    if count == 0 || count > Notice::MOST {
        let expected = format!("1 to {}", Notice::MOST);
        findings.add(place, format!("{count} is out of range"), expected);
    }
}

fn decode_phase(phase: i32, findings: &mut Findings) -> Option<Phase> {
    match wire::Phase::try_from(phase) {
        Ok(wire::Phase::Starting) => Some(Phase::Starting),
        Ok(wire::Phase::Ready) => Some(Phase::Ready),
        Ok(wire::Phase::Draining) => Some(Phase::Draining),
        Ok(wire::Phase::Unspecified | wire::Phase::Stopping) | Err(_) => {
            findings.add("/phase", format!("unknown phase {phase}"), "1, 2 or 3");
            None
        }
    }
}
