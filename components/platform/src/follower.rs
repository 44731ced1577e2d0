//! Follows the objects below a prefix.

use std::pin;
use std::time;

use futures_util::FutureExt;
use futures_util::future::{self, Either};
use units::Uptime;

use crate::{Backoff, Error, Event, Listing, Nudge, Object, Revision, Store};

/// Takes what a [`Follower`] reads.
pub trait Follow {
    /// Who follows, in log lines.
    const NAME: &'static str;

    /// Prefix of the keys that are followed.
    fn prefix(&self) -> &str;

    /// Takes objects as they are now, oldest change first.
    fn take(&self, objects: Vec<Object>);

    /// Takes everything below the prefix.
    fn take_listing(&self, listing: Listing) {
        self.take(listing.objects);
    }

    /// Whether changes are taken with [`Follow::take_events`], removed objects among them.
    fn follows_removals(&self) -> bool {
        false
    }

    /// Takes changes, oldest first, if removed objects are followed.
    fn take_events(&self, _events: Vec<Event>) {}

    /// Everything below the prefix has been read.
    fn listed(&self) {}

    /// The store has answered: what is taken next makes the objects complete up to `at`.
    fn answered(&self, _at: time::Instant) {}

    /// The objects taken so far include every change that the store acknowledged before `at`: the time at
    /// which the call was sent, because its answer may have waited in a socket; the end of the wait for a
    /// watch that returned no event.
    fn complete(&self, _at: Uptime) {}

    /// Longest wait of the next watch, if it differs from that of the pace.
    fn next_wait(&self) -> Option<time::Duration> {
        None
    }

    /// A call has failed.
    fn failed(&self, _error: &Error) {}
}

units::record! { eq:
    /// Times of a [`Follower`].
    #[derive(Copy)]
    pub struct Pace {
        /// Longest time that one watch waits.
        pub wait: time::Duration,
        /// Pause after a change, which bounds the calls of a burst of changes.
        pub pause: time::Duration,
        /// First wait after a failed call; it doubles up to the longest.
        pub retry_least: time::Duration,
        /// Longest wait after failed calls.
        pub retry_most: time::Duration,
    }
}

/// Follows the objects below a prefix: reads them, then watches them, and starts over when a call fails.
///
/// Objects that are removed are told of only to readers that follow removals.
pub struct Follower<S> {
    store: S,
    pace: Pace,
    asked: kernel::Inbox<()>,
    /// Revision up to which the objects have been read, for the first call.
    from: Option<Revision>,
    /// Since when the objects cannot be watched.
    lost: Option<time::Instant>,
}

impl<S: Store> Follower<S> {
    /// Time that a watch has, once another node is known to have seen a newer change, to tell of it
    /// as well: a watch is usually only some milliseconds behind.
    const PATIENCE: time::Duration = time::Duration::from_millis(250);

    /// Follows objects of `store`; the nudge makes it read again.
    #[must_use]
    pub fn new(store: S, pace: Pace) -> (Self, Nudge) {
        let (mailbox, asked) = kernel::mailbox(1);
        let follower = Self {
            store,
            pace,
            asked,
            from: None,
            lost: None,
        };
        (follower, Nudge::new(mailbox))
    }

    /// Follows for `reader`, which has read the objects up to `from`, until the stop.
    pub async fn run_from(
        mut self,
        reader: impl Follow,
        from: Option<Revision>,
        stop: kernel::Stop,
    ) {
        self.from = from.filter(|from| from.0 > 0);
        self.run(reader, stop).await;
    }

    /// Follows for `reader` until the stop.
    pub async fn run(mut self, reader: impl Follow, stop: kernel::Stop) {
        let (least, most) = (self.pace.retry_least, self.pace.retry_most);
        let mut backoff = Backoff::new(least, most);
        while let Some(ended) = stop.guard(self.follow(&reader, &mut backoff)).await {
            let Err(error) = ended else {
                continue;
            };
            self.lose(&reader, &error);
            let least = match error {
                Error::Throttled(least) => least.min(most),
                _ => time::Duration::ZERO,
            };
            let wait = least + backoff.next_wait(&mut rand::rng());
            if !stop.sleep(wait).await {
                return;
            }
        }
    }

    /// Reads the objects, then watches them until a call fails or it is asked to read again.
    async fn follow<F: Follow>(&mut self, reader: &F, backoff: &mut Backoff) -> Result<(), Error> {
        let mut from = match self.from.take() {
            Some(from) => self.catch_up(reader, from).await?,
            None => self.list(reader).await?,
        };
        reader.listed();
        backoff.reset();
        self.forget_asked();
        self.regain(F::NAME);
        while let Some(next) = self.watch(reader, from).await? {
            from = next;
        }
        Ok(())
    }

    async fn list<F: Follow>(&self, reader: &F) -> Result<Revision, Error> {
        let (asked_at, sent) = (time::Instant::now(), Uptime::now());
        let listing = self.store.list(reader.prefix()).await?;
        reader.answered(asked_at);
        let revision = listing.revision;
        reader.take_listing(listing);
        reader.complete(sent);
        Ok(revision)
    }

    /// Reads the changes after `from`, or everything if that history is gone.
    async fn catch_up<F: Follow>(&self, reader: &F, from: Revision) -> Result<Revision, Error> {
        let (asked_at, sent) = (time::Instant::now(), Uptime::now());
        let watched = self
            .store
            .watch(reader.prefix(), from, time::Duration::ZERO);
        let events = match watched.await {
            Err(Error::Gone) => return self.list(reader).await,
            events => events?,
        };
        reader.answered(asked_at);
        let revision = events.revision.max(from);
        take_changes(reader, events.events);
        reader.complete(sent);
        Ok(revision)
    }

    /// Waits for changes after `from`; `None` when it was asked to read again.
    async fn watch<F: Follow>(
        &mut self,
        reader: &F,
        from: Revision,
    ) -> Result<Option<Revision>, Error> {
        let wait = reader.next_wait().unwrap_or(self.pace.wait);
        let sent = Uptime::now();
        let watched = self.store.watch(reader.prefix(), from, wait);
        let asked = async {
            if self.asked.receive().await.is_none() {
                // Nobody is left who could ask.
                future::pending::<()>().await;
            }
            compio::time::sleep(Self::PATIENCE).await;
        };
        let events = match future::select(pin::pin!(watched), pin::pin!(asked)).await {
            Either::Left((events, _)) => events?,
            Either::Right(_) => {
                log::info!(event = "watch-behind", reader = F::NAME; "another node is ahead of the watch");
                return Ok(None);
            }
        };
        reader.answered(time::Instant::now());
        let is_empty = events.events.is_empty();
        let has_changes = take_changes(reader, events.events);
        reader.complete(proven_by_watch(sent, wait, is_empty, Uptime::now()));
        if has_changes {
            compio::time::sleep(self.pace.pause).await;
            // What was heard of before is there; a change that is not is heard of again.
            self.forget_asked();
        }
        Ok(Some(events.revision.max(from)))
    }

    fn forget_asked(&mut self) {
        while let Some(Some(())) = self.asked.receive().now_or_never() {}
    }

    fn lose<F: Follow>(&mut self, reader: &F, error: &Error) {
        reader.failed(error);
        // History that is gone says nothing about the store.
        if *error != Error::Gone && self.lost.is_none() {
            self.lost = Some(time::Instant::now());
            log::warn!(event = "store-lost", reader = F::NAME, error:% = error; "the store cannot be watched");
        }
    }

    fn regain(&mut self, name: &str) {
        if let Some(lost) = self.lost.take() {
            let gone = units::millis(lost.elapsed());
            log::info!(event = "store-regained", reader = name, gone_ms = gone; "the store is watched again");
        }
    }
}

/// Time up to which a watch that was sent at `sent` and answered by `now` shows that nothing is missing.
///
/// The store tells of a change at once, so that a watch that `is_empty` and has lasted for its `wait` was
/// answered at its end.
#[must_use]
pub fn proven_by_watch(sent: Uptime, wait: time::Duration, is_empty: bool, now: Uptime) -> Uptime {
    // The wait is sent in whole milliseconds.
    let wait = time::Duration::from_millis(units::millis(wait));
    match is_empty && now.saturating_since(sent) >= wait {
        true => sent + wait,
        false => sent,
    }
}

/// Hands the changes that `reader` follows to it; returns whether there are any.
fn take_changes<F: Follow>(reader: &F, events: Vec<Event>) -> bool {
    if reader.follows_removals() {
        let has_events = !events.is_empty();
        if has_events {
            reader.take_events(events);
        }
        return has_events;
    }
    let puts = events.into_iter().filter_map(|event| match event {
        Event::Put(object) => Some(object),
        Event::Removed(..) => None,
    });
    let puts: Vec<_> = puts.collect();
    let has_puts = !puts.is_empty();
    if has_puts {
        reader.take(puts);
    }
    has_puts
}
