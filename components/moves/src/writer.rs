//! Writer of the platform object of one move.

use std::rc;
use std::time;

use platform::{Error, Object, Revision};
use rand::Rng;

use crate::shared::Shared;
use crate::tenure::Tenure;
use crate::{Id, Record};

/// Backoff before a call to the platform is retried.
pub(crate) const RETRY_BACKOFF: time::Duration = time::Duration::from_millis(200);

/// Reason for which a write failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteError {
    /// The lease has lapsed; its next holder continues the move.
    Lapsed,
    /// Another process has written the object; the writer now has its record.
    Changed,
    /// The object is gone, or the platform rejects it permanently.
    Gone,
}

/// Writer of the object of one move; each write is conditional on the last known revision.
pub(crate) struct Writer<S, L> {
    pub(crate) shared: rc::Rc<Shared<S, L>>,
    pub(crate) tenure: rc::Rc<Tenure>,
    pub(crate) record: Record,
    revision: Revision,
    key: platform::Key,
}

/// Result of reading the object back after a conflict or a lost answer.
enum ReadBack {
    Written,
    Unchanged,
}

impl<S: platform::Store, L: peer::Link> Writer<S, L> {
    /// Opens a writer for the move with `id`; `None` if this node does not know the move.
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

    /// Adopts a newer record that this node has received meanwhile.
    pub(crate) fn refresh(&mut self) {
        let catalogue = self.shared.catalogue.borrow();
        if let Some(entry) = catalogue.get(&self.record.id)
            && entry.revision > self.revision
        {
            self.revision = entry.revision;
            self.record = entry.record.as_ref().clone();
        }
    }

    /// Writes the record with `change` applied to it.
    pub(crate) async fn write(
        &mut self,
        change: impl FnOnce(&mut Record),
    ) -> Result<(), WriteError> {
        let mut next = self.record.clone();
        change(&mut next);
        next.nonce = rand::rng().random();
        loop {
            self.check_lease()?;
            let written = self.update(&next).await;
            let is_lost = match written {
                Ok(revision) => {
                    self.adopt(revision, next);
                    return Ok(());
                }
                Err(Error::Invalid(problem)) => {
                    log::error!(id:% = next.id, problem:% = problem; "the platform rejected the move record");
                    return Err(WriteError::Gone);
                }
                Err(Error::Conflict) => false,
                Err(Error::Unknown(_)) => true,
                Err(Error::Throttled(wait)) => {
                    compio::time::sleep(wait.min(self.shared.parts.settings.lease.0)).await;
                    continue;
                }
                Err(Error::Unavailable(_) | Error::Gone) => {
                    compio::time::sleep(RETRY_BACKOFF).await;
                    continue;
                }
            };
            if is_lost {
                self.shared.tally.settled.add(1);
            }
            if matches!(self.read_back(&next).await?, ReadBack::Written) {
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

    /// Reads the object back to determine whether `next` was written.
    async fn read_back(&mut self, next: &Record) -> Result<ReadBack, WriteError> {
        let object = self.read().await?;
        let found = Record::from_bytes(&object.value).ok_or(WriteError::Gone)?;
        if found.nonce == next.nonce {
            self.adopt(object.revision, found);
            return Ok(ReadBack::Written);
        }
        if object.revision == self.revision {
            return Ok(ReadBack::Unchanged);
        }
        self.adopt(object.revision, found);
        Err(WriteError::Changed)
    }

    async fn read(&self) -> Result<Object, WriteError> {
        loop {
            self.check_lease()?;
            self.shared.tally.calls.add(1);
            match self.shared.parts.store.read(&self.key).await {
                Ok(Some(object)) => return Ok(object),
                Ok(None) => return Err(WriteError::Gone),
                Err(_) => compio::time::sleep(RETRY_BACKOFF).await,
            }
        }
    }

    fn check_lease(&self) -> Result<(), WriteError> {
        if self.tenure.is_held() {
            return Ok(());
        }
        self.shared.tally.lapsed.add(1);
        Err(WriteError::Lapsed)
    }

    fn adopt(&mut self, revision: Revision, record: Record) {
        self.revision = revision;
        self.record = record.clone();
        self.shared.merge_and_spread(revision, record);
    }
}
