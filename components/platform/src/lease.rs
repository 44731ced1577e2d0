//! Leases with fencing tokens.

use std::time;

use compact_str::CompactString;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::{Era, Error, Key, Object, Revision, Store};

units::record! { eq:
    /// Content of a lease object.
    #[derive(Serialize, Deserialize)]
    pub struct Record {
        /// Who holds it.
        pub holder: CompactString,
        /// Number that the holder drew at its start, so that a restarted holder is another one.
        pub instance: u64,
        /// Period of the lease in milliseconds.
        pub period_ms: u64,
    }

    /// What one attempt to hold a lease has shown.
    #[derive(Copy)]
    pub enum Observed {
        /// It is ours; the revision is the fencing token.
        Held(Revision),
        /// Another holder has it, or had it until a moment ago.
        Other(Revision),
    }
}

/// A named lease that at most one holder has at a time (Gray and Cheriton, "Leases", SOSP 1989).
///
/// Wall clocks are not compared: a contender takes the lease over once it has seen its object
/// unchanged for a whole period of its own monotonic clock, and the holder counts its period from
/// before it sends a renewal. The revision of the object grows with each renewal and each holder,
/// so that it serves as fencing token where a paused holder could still write.
pub struct Lease<S> {
    store: S,
    key: Key,
    record: Record,
    period: time::Duration,
    /// Revision of another holder's record, and when it was first seen.
    seen: Option<(Revision, time::Instant)>,
    held: Option<Held>,
    /// Revision of our last write that is known to have taken effect.
    last: Option<Revision>,
    /// Start of the first write whose answer is lost and that may still have taken effect.
    unsettled: Option<time::Instant>,
    /// Era of the store, and since when it is known here.
    era: Option<(Era, time::Instant)>,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    token: Revision,
    until: time::Instant,
}

impl<S: Store> Lease<S> {
    /// A lease called `name` that `holder` does not hold yet.
    ///
    /// # Errors
    /// When `name` cannot be part of a key.
    pub fn new(
        store: S,
        name: &str,
        holder: &str,
        period: time::Duration,
    ) -> Result<Self, units::Error> {
        let key = format!("lease/{name}").parse()?;
        let record = Record {
            holder: holder.into(),
            instance: rand::rng().random(),
            period_ms: units::millis(period),
        };
        Ok(Self {
            store,
            key,
            record,
            period,
            seen: None,
            held: None,
            last: None,
            unsettled: None,
            era: None,
        })
    }

    /// The fencing token, as long as the lease is certainly ours.
    #[must_use]
    pub fn token(&self, now: time::Instant) -> Option<Revision> {
        let held = self.held.filter(|held| now < held.until)?;
        Some(held.token)
    }

    /// Time until the lease has to be renewed to stay ours; `None` where it is not ours.
    #[must_use]
    pub fn left(&self, now: time::Instant) -> Option<time::Duration> {
        let held = self.held.filter(|held| now < held.until)?;
        Some(held.until - now)
    }

    /// Renews the lease where it is ours, else tries to acquire it; call it several times a period.
    ///
    /// # Errors
    /// As of the store. A lease that was ours stays so until its period ends.
    pub async fn attempt(&mut self, now: time::Instant) -> Result<Observed, Error> {
        let entered = time::Instant::now();
        if self.unsettled.is_some() {
            self.settle().await?;
        }
        let expired = self.held.is_some_and(|held| now >= held.until);
        if expired {
            self.held = None;
        }
        match self.held {
            Some(held) => self.renew(held, now, entered).await,
            None => self.acquire(now, entered).await,
        }
    }

    /// Gives the lease up, so that the next holder need not wait for its end.
    ///
    /// # Errors
    /// As of the store; the lease then ends with its period.
    pub async fn close(self) -> Result<(), Error> {
        let Some(held) = self.held else {
            return Ok(());
        };
        match self.store.remove(&self.key, held.token).await {
            // Another holder has taken it over, which is as good.
            Err(Error::Conflict) => Ok(()),
            ended => ended,
        }
    }

    async fn renew(
        &mut self,
        held: Held,
        now: time::Instant,
        entered: time::Instant,
    ) -> Result<Observed, Error> {
        let value = self.encode()?;
        let written = self.store.update(&self.key, held.token, value).await;
        match self.settle_write(written, now) {
            Err(Error::Conflict) => {
                self.held = None;
                self.acquire(now, entered).await
            }
            other => other,
        }
    }

    async fn acquire(
        &mut self,
        now: time::Instant,
        entered: time::Instant,
    ) -> Result<Observed, Error> {
        let object = self.store.read(&self.key).await?;
        // Seen only now, which is long after `now` where a call was slow or this process paused.
        let seen = now + entered.elapsed();
        let value = self.encode()?;
        if object.is_none() && !self.is_absence_certain(now, seen) {
            return Ok(Observed::Other(Revision::default()));
        }
        let Some(object) = object else {
            let written = self.store.create(&self.key, value).await;
            return self.settle_write(written, now).or_else(lost_race);
        };
        if !self.is_expired(&object, now, seen) {
            return Ok(Observed::Other(object.revision));
        }
        let written = self.store.update(&self.key, object.revision, value).await;
        self.settle_write(written, now).or_else(lost_race)
    }

    /// Whether the absence of the object means that nobody holds the lease, for the attempt at `now` that
    /// has found it at `seen`.
    ///
    /// A store that came back from a copy may have lost the object of a holder, who counts its period still.
    fn is_absence_certain(&mut self, now: time::Instant, seen: time::Instant) -> bool {
        let era = self.store.era();
        let since = match self.era {
            Some((known, since)) if known == era => since,
            _ => seen,
        };
        self.era = Some((era, since));
        era == Era::default() || now.saturating_duration_since(since) >= self.period
    }

    /// Whether `object`, for which the attempt at `now` has asked and which it has got at `seen`,
    /// was seen unchanged for a whole period.
    fn is_expired(&mut self, object: &Object, now: time::Instant, seen: time::Instant) -> bool {
        let since = match self.seen {
            Some((revision, since)) if revision == object.revision => since,
            _ => {
                self.seen = Some((object.revision, seen));
                seen
            }
        };
        let record: Option<Record> = serde_json::from_slice(&object.value).ok();
        let named = record.map_or(0, |record| record.period_ms);
        let period = self.period.max(time::Duration::from_millis(named));
        now.saturating_duration_since(since) >= period
    }

    fn settle_write(
        &mut self,
        written: Result<Revision, Error>,
        started: time::Instant,
    ) -> Result<Observed, Error> {
        match written {
            Ok(token) => {
                let until = started + self.period;
                self.held = Some(Held { token, until });
                self.last = Some(token);
                self.seen = None;
                Ok(Observed::Held(token))
            }
            Err(error) => {
                if !error.is_not_run() {
                    self.unsettled = Some(started);
                }
                Err(error)
            }
        }
    }

    /// Reads back what became of a write whose answer is lost.
    async fn settle(&mut self) -> Result<(), Error> {
        let object = self.store.read(&self.key).await?;
        let Some(started) = self.unsettled.take() else {
            return Ok(());
        };
        let Some(object) = object else {
            self.held = None;
            return Ok(());
        };
        if self.last == Some(object.revision) {
            // The write did not take effect, so that the lease ends as it would have without it.
            return Ok(());
        }
        let record: Option<Record> = serde_json::from_slice(&object.value).ok();
        if record.as_ref() != Some(&self.record) {
            self.held = None;
            return Ok(());
        }
        self.last = Some(object.revision);
        self.held = Some(Held {
            token: object.revision,
            // Others may have seen the write right after it was sent.
            until: started + self.period,
        });
        Ok(())
    }

    fn encode(&self) -> Result<Vec<u8>, Error> {
        let encoded = serde_json::to_vec(&self.record);
        encoded.map_err(|error| Error::Invalid(compact_str::format_compact!("{error}")))
    }
}

/// A conflict means that another contender was faster.
fn lost_race(error: Error) -> Result<Observed, Error> {
    match error {
        Error::Conflict => Ok(Observed::Other(Revision::default())),
        error => Err(error),
    }
}
