//! Exchange of suspects among the owners of a service.

use std::cell;
use std::rc;
use std::time;

use futures_util::stream::{FuturesUnordered, StreamExt};
use prost::Message;
use rand::seq::IndexedRandom;
use schema::admission as wire;

use crate::{Crash, Finished, Settings, Standing, Suspects};

/// Name of the peer service that receives notices.
pub const SERVICE: &str = "admission";

/// Suspects of this node, exchanged with the other owners of its service; clones share the state.
#[derive(Clone)]
pub struct SharedSuspects<L> {
    shared: rc::Rc<Shared<L>>,
}

struct Shared<L> {
    link: L,
    settings: rc::Rc<Settings>,
    suspects: cell::RefCell<Suspects>,
    finished: cell::RefCell<Finished>,
    quarantined: cell::Cell<u64>,
}

impl<L: peer::Link> SharedSuspects<L> {
    /// Timeout of a call to another owner.
    const TIMEOUT: time::Duration = time::Duration::from_secs(2);
    /// Maximum number of owners that receive a notice.
    const FAN_OUT: usize = 256;
    /// Maximum number of suspects in a reminder.
    const MAX_REMINDED: usize = 32;

    /// Creates an empty set of suspects that sends notices over `link`.
    #[must_use]
    pub fn new(link: L, settings: rc::Rc<Settings>) -> Self {
        let shared = Shared {
            link,
            settings,
            suspects: cell::RefCell::default(),
            finished: cell::RefCell::default(),
            quarantined: cell::Cell::new(0),
        };
        Self {
            shared: rc::Rc::new(shared),
        }
    }

    /// Whether there are no suspects, so that fingerprints need not be compared.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.shared.suspects.borrow().is_empty()
    }

    /// Number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shared.suspects.borrow().len()
    }

    /// Number of requests refused because of quarantine.
    #[must_use]
    pub fn quarantined(&self) -> u64 {
        self.shared.quarantined.get()
    }

    /// Standing of the request; one that has finished recently is clean.
    #[must_use]
    pub fn standing(&self, fingerprint: u64, now: time::Instant) -> Standing {
        let suspects = self.shared.suspects.borrow();
        let standing = suspects.standing(fingerprint, now, &self.shared.settings);
        if matches!(standing, Standing::Quarantined(_)) {
            self.shared
                .quarantined
                .set(self.shared.quarantined.get() + 1);
        }
        standing
    }

    /// Whether the request has finished here recently.
    #[must_use]
    pub fn has_finished(&self, fingerprint: u64) -> bool {
        self.shared.finished.borrow().contains(fingerprint)
    }

    /// Records that the request has finished, and notifies other owners if it was a suspect.
    pub fn finish(&self, fingerprint: u64, others: impl FnOnce() -> Vec<units::Address>) {
        self.shared.finished.borrow_mut().add(fingerprint);
        if self.is_empty() || !self.shared.suspects.borrow_mut().clear(fingerprint) {
            return;
        }
        let notice = wire::Notice {
            cleared: vec![fingerprint],
            ..wire::Notice::default()
        };
        self.send(&notice, others());
    }

    /// Records that the request was in flight in `crash`, and notifies other owners.
    ///
    /// A request that has finished recently does not become a suspect unless it ran alone.
    pub fn add_suspect(
        &self,
        fingerprint: u64,
        crash: &Crash,
        now: time::Instant,
        others: impl FnOnce() -> Vec<units::Address>,
    ) {
        if !crash.alone && self.has_finished(fingerprint) {
            return;
        }
        let mut suspects = self.shared.suspects.borrow_mut();
        suspects.expire(now, &self.shared.settings);
        if !suspects.add(fingerprint, crash, now, &self.shared.settings) {
            return;
        }
        let suspect = suspects.encode(fingerprint, now);
        drop(suspects);
        log::warn!(node:% = crash.node, instance = crash.instance, alone = crash.alone,
            fingerprint = fingerprint; "request was in flight in a crash");
        let notice = wire::Notice {
            suspects: suspect.into_iter().collect(),
            ..wire::Notice::default()
        };
        self.send(&notice, others());
    }

    /// Removes a `crash` that was only a failed connection, and notifies other owners.
    pub fn withdraw(&self, crash: &Crash, others: impl FnOnce() -> Vec<units::Address>) {
        if !self.shared.suspects.borrow_mut().withdraw(crash) {
            return;
        }
        let notice = wire::Notice {
            withdrawn: vec![crash.encode()],
            ..wire::Notice::default()
        };
        self.send(&notice, others());
    }

    /// Sends the current suspects to a random other owner, which may have missed earlier notices because it
    /// started later or was unreachable.
    pub fn remind(
        &self,
        node: &units::Node,
        now: time::Instant,
        others: impl FnOnce() -> Vec<units::Address>,
    ) {
        if self.is_empty() {
            return;
        }
        let mut suspects = self.shared.suspects.borrow_mut();
        suspects.expire(now, &self.shared.settings);
        let reminded = suspects.reminder(node, Self::MAX_REMINDED, now);
        drop(suspects);
        if reminded.is_empty() {
            return;
        }
        let notice = wire::Notice {
            suspects: reminded,
            ..wire::Notice::default()
        };
        let target = others().choose(&mut rand::rng()).copied();
        self.send(&notice, target.into_iter().collect());
    }

    /// Handles a notice from another owner.
    pub fn receive(&self, incoming: peer::Incoming, now: time::Instant) {
        let Ok(mut notice) = wire::Notice::decode(incoming.payload.as_slice()) else {
            incoming.answer.invalid();
            return;
        };
        notice.suspects.retain(|suspect| {
            let alone = suspect.crashes.iter().any(|crash| crash.alone);
            alone || !self.has_finished(suspect.fingerprint)
        });
        let mut suspects = self.shared.suspects.borrow_mut();
        suspects.expire(now, &self.shared.settings);
        suspects.merge(&notice, now, &self.shared.settings);
        drop(suspects);
        incoming.answer.send(Vec::new());
    }

    fn send(&self, notice: &wire::Notice, others: Vec<units::Address>) {
        let payload = notice.encode_to_vec();
        let link = self.shared.link.clone();
        compio::runtime::spawn(async move {
            let calls = others.into_iter().take(Self::FAN_OUT);
            let mut calls: FuturesUnordered<_> = calls
                .map(|to| link.call(to, SERVICE, payload.clone(), Self::TIMEOUT))
                .collect();
            while let Some(result) = calls.next().await {
                if let Err(error) = result {
                    log::debug!(error:% = error; "failed to notify an owner of suspects");
                }
            }
        })
        .detach();
    }
}
