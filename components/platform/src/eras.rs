//! Era of the store as its answers name it.

use std::cell;

use crate::{Era, Error, Revision};

/// Era of the newest answer of the store.
#[derive(Debug, Default)]
pub(crate) struct Eras {
    known: cell::Cell<Option<Era>>,
}

impl Eras {
    /// Header of all answers that names the era.
    const HEADER: http::HeaderName = http::HeaderName::from_static("store-era");

    /// Era of the newest answer; zero while none has named one.
    pub(crate) fn known(&self) -> Era {
        self.known.get().unwrap_or_default()
    }

    /// Era of an answer; one of an earlier era than another answer came too late to be used.
    pub(crate) fn observe(&self, headers: &http::HeaderMap) -> Result<Era, Error> {
        let Some(named) = headers.get(Self::HEADER) else {
            return Ok(self.known());
        };
        let named = named.to_str().ok().and_then(|text| text.parse().ok());
        let era: Era = named.ok_or_else(|| Error::Unknown("the era is malformed".into()))?;
        if era < self.known() {
            return Err(Error::Unknown("the answer is of an earlier era".into()));
        }
        let before = self.known.replace(Some(era));
        if before.is_some_and(|before| before < era) {
            log::warn!(event = "store-era-changed", before = before.unwrap_or_default().0, era = era.0;
                "the store names a new era: it may have lost its latest changes");
        }
        Ok(era)
    }

    /// Refuses a write on the condition of a revision of an earlier era, which the store may have given
    /// to another object since.
    pub(crate) fn check_condition(&self, expected: Revision) -> Result<(), Error> {
        match expected.era() == self.known() {
            true => Ok(()),
            false => Err(Error::Conflict),
        }
    }

    /// Refuses the answer to a write whose condition was of an earlier era: the store may have compared
    /// the revision with that of another object.
    pub(crate) fn check_written(expected: Revision, era: Era) -> Result<(), Error> {
        match expected.era() == era {
            true => Ok(()),
            false => Err(Error::Unknown("the era changed before the write".into())),
        }
    }

    /// A result with the era of its answer; malformed where a revision is too large.
    pub(crate) fn stamped<T>(result: Option<T>) -> Result<T, Error> {
        result.ok_or_else(|| Error::Unknown("a revision is too large".into()))
    }
}
