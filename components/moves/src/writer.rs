//! Writes the object of one move.

use std::rc;
use std::time;

use platform::{Error, Object, Revision};
use rand::Rng;

use crate::shared::Shared;
use crate::tenure::Tenure;
use crate::{Id, Record};

/// Pause before a call to the platform is tried again.
pub(crate) const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Why a write did not come about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failed {
    /// The lease has lapsed; whoever holds it now goes on.
    Lapsed,
    /// Someone else has written; the record is the new one.
    Changed,
    /// The object is gone, or the platform refuses it for good.
    Gone,
}

/// Writes the object of one move, each time on the condition that nobody else has written since.
pub(crate) struct Writer<S, L> {
    pub(crate) shared: rc::Rc<Shared<S, L>>,
    pub(crate) tenure: rc::Rc<Tenure>,
    pub(crate) record: Record,
    revision: Revision,
    key: platform::Key,
}

/// What reading back after a lost answer has shown.
enum Found {
    Written,
    Unchanged,
}

impl<S: platform::Store, L: peer::Link> Writer<S, L> {
    /// Writes the move called `id` as it is known to this node; `None` when it is not known.
    pub(crate) fn open(
        shared: rc::Rc<Shared<S, L>>,
        tenure: rc::Rc<Tenure>,
        id: &Id,
    ) -> Option<Self> {
        let (record, revision) = {
            let catalogue = shared.catalogue.borrow();
            let entry = catalogue.get(id)?;
            (entry.record.as_ref().clone(), entry.revision)
        };
        let key = id.key().ok()?;
        Some(Self {
            shared,
            tenure,
            record,
            revision,
            key,
        })
    }

    /// Takes over a newer record that this node has learned meanwhile.
    pub(crate) fn refresh(&mut self) {
        let catalogue = self.shared.catalogue.borrow();
        if let Some(entry) = catalogue.get(&self.record.id)
            && entry.revision > self.revision
        {
            self.revision = entry.revision;
            self.record = entry.record.as_ref().clone();
        }
    }

    /// Writes the record with `change` made to it.
    pub(crate) async fn write(&mut self, change: impl FnOnce(&mut Record)) -> Result<(), Failed> {
        let mut next = self.record.clone();
        change(&mut next);
        next.nonce = rand::rng().random();
        loop {
            self.check_lease()?;
            let written = self.update(&next).await;
            let lost = match written {
                Ok(revision) => {
                    self.adopt(revision, next);
                    return Ok(());
                }
                Err(Error::Invalid(problem)) => {
                    log::error!(id:% = next.id, problem:% = problem; "the platform refuses the record");
                    return Err(Failed::Gone);
                }
                Err(Error::Conflict) => false,
                Err(Error::Unknown(_)) => true,
                Err(Error::Throttled(wait)) => {
                    compio::time::sleep(wait.min(self.shared.parts.settings.lease.0)).await;
                    continue;
                }
                Err(Error::Unavailable(_) | Error::Gone) => {
                    compio::time::sleep(RETRY_PAUSE).await;
                    continue;
                }
            };
            if lost {
                self.shared.tally.settled.add(1);
            }
            if matches!(self.read_back(&next).await?, Found::Written) {
                return Ok(());
            }
        }
    }

    async fn update(&self, next: &Record) -> Result<Revision, Error> {
        self.shared.tally.calls.add(1);
        let store = &self.shared.parts.store;
        store
            .update(&self.key, self.revision, next.to_bytes())
            .await
    }

    /// Finds out whether `next` was written.
    async fn read_back(&mut self, next: &Record) -> Result<Found, Failed> {
        let object = self.read().await?;
        let found = Record::from_bytes(&object.value).ok_or(Failed::Gone)?;
        if found.nonce == next.nonce {
            self.adopt(object.revision, found);
            return Ok(Found::Written);
        }
        if object.revision == self.revision {
            return Ok(Found::Unchanged);
        }
        self.adopt(object.revision, found);
        Err(Failed::Changed)
    }

    async fn read(&self) -> Result<Object, Failed> {
        loop {
            self.check_lease()?;
            self.shared.tally.calls.add(1);
            match self.shared.parts.store.read(&self.key).await {
                Ok(Some(object)) => return Ok(object),
                Ok(None) => return Err(Failed::Gone),
                Err(_) => compio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    fn check_lease(&self) -> Result<(), Failed> {
        if self.tenure.is_held() {
            return Ok(());
        }
        self.shared.tally.lapsed.add(1);
        Err(Failed::Lapsed)
    }

    fn adopt(&mut self, revision: Revision, record: Record) {
        self.revision = revision;
        self.record = record.clone();
        self.shared.learn(revision, record);
    }
}
