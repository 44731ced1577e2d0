//! The platform's object API in memory.

use std::cell;
use std::rc;
use std::time;

use futures_channel::oneshot;
use platform::{Era, Error, Event, Events, Key, Listing, Object, Revision};

use crate::Faults;

/// The platform's object API in memory; clones share the objects.
#[derive(Clone, Default)]
pub struct Store {
    state: rc::Rc<cell::RefCell<State>>,
}

#[derive(Default)]
struct State {
    /// Sorted by key.
    objects: Vec<Object>,
    revision: Revision,
    era: Era,
    /// Oldest first.
    history: Vec<Event>,
    /// Watches from before this revision find their history gone.
    floor: Revision,
    faults: Faults,
    counts: Counts,
    watchers: Vec<oneshot::Sender<()>>,
}

/// A copy of the objects, from which the store can come back.
#[derive(Clone)]
pub struct Copy {
    objects: Vec<Object>,
    revision: Revision,
}

units::record! { eq:
    /// Calls by kind.
    #[derive(Copy, Default)]
    pub struct Counts {
        /// Reads of one object.
        pub reads: u64,
        /// Creates, updates and removes.
        pub writes: u64,
        /// Lists of a prefix.
        pub lists: u64,
        /// Lists of a prefix as it was.
        pub stale_lists: u64,
        /// Watches; one that waits counts once.
        pub watches: u64,
    }
}

impl Store {
    /// Replaces the faults that it shows.
    pub fn set_faults(&self, faults: Faults) {
        self.state.borrow_mut().faults = faults;
    }

    /// The faults that it still shows.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.state.borrow().faults.clone()
    }

    /// Forgets the history, so that watches from earlier revisions have to list again.
    pub fn forget_history(&self) {
        let mut state = self.state.borrow_mut();
        state.floor = state.revision;
        state.history.clear();
    }

    /// A copy of the objects as they are.
    #[must_use]
    pub fn copy(&self) -> Copy {
        let state = self.state.borrow();
        Copy {
            objects: state.objects.clone(),
            revision: state.revision,
        }
    }

    /// Comes back from `copy` in a new era: later changes are lost, and watches are cut.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state.borrow_mut();
        state.era.0 += 1;
        let era = state.era;
        let moved = |revision: Revision| {
            let bare = Revision(revision.counter());
            bare.in_era(era).expect("a bare counter")
        };
        state.objects = copy.objects;
        for object in &mut state.objects {
            object.revision = moved(object.revision);
        }
        state.revision = moved(copy.revision);
        state.floor = state.revision;
        state.history.clear();
        for watcher in state.watchers.drain(..) {
            // A watcher whose time ran out is gone.
            let _ = watcher.send(());
        }
    }

    /// Calls so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.state.borrow().counts
    }

    /// The objects below `prefix`, without a call being counted or a fault shown.
    #[must_use]
    pub fn peek(&self, prefix: &str) -> Vec<Object> {
        self.state.borrow().below(prefix)
    }

    /// Puts an object whatever is there, without a call being counted or a fault shown.
    pub fn plant(&self, key: &Key, value: Vec<u8>) -> Revision {
        self.state.borrow_mut().put(key, value)
    }

    /// Shows the faults that concern every call.
    async fn admit(&self) -> Result<(), Error> {
        let faults = self.faults();
        if !faults.slow.is_zero() {
            compio::time::sleep(faults.slow).await;
        }
        if faults.outage {
            return Err(Error::Unavailable("outage".into()));
        }
        faults
            .throttled
            .map_or(Ok(()), |wait| Err(Error::Throttled(wait)))
    }

    /// Runs one write, or loses it or its answer.
    async fn write<T>(&self, run: impl FnOnce(&mut State) -> Result<T, Error>) -> Result<T, Error> {
        self.state.borrow_mut().counts.writes += 1;
        self.admit().await?;
        let mut state = self.state.borrow_mut();
        if state.faults.lost_requests > 0 {
            state.faults.lost_requests -= 1;
            return Err(Error::Unknown("the request is lost".into()));
        }
        let result = run(&mut state);
        if state.faults.lost_answers > 0 {
            state.faults.lost_answers -= 1;
            return Err(Error::Unknown("the answer is lost".into()));
        }
        result
    }
}

impl platform::Store for Store {
    async fn read(&self, key: &Key) -> Result<Option<Object>, Error> {
        self.state.borrow_mut().counts.reads += 1;
        self.admit().await?;
        let state = self.state.borrow();
        let place = state.place(key).ok();
        Ok(place.map(|place| state.objects[place].clone()))
    }

    async fn create(&self, key: &Key, value: Vec<u8>) -> Result<Revision, Error> {
        self.write(|state| match state.place(key) {
            Ok(_) => Err(Error::Conflict),
            Err(_) => Ok(state.put(key, value)),
        })
        .await
    }

    async fn update(
        &self,
        key: &Key,
        expected: Revision,
        value: Vec<u8>,
    ) -> Result<Revision, Error> {
        self.write(|state| {
            state.check(key, expected)?;
            Ok(state.put(key, value))
        })
        .await
    }

    async fn remove(&self, key: &Key, expected: Revision) -> Result<(), Error> {
        self.write(|state| {
            let place = state.check(key, expected)?;
            state.objects.remove(place);
            let revision = state.next_revision();
            state.record(Event::Removed(key.clone(), revision));
            Ok(())
        })
        .await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.state.borrow_mut().counts.lists += 1;
        self.admit().await?;
        let state = self.state.borrow();
        Ok(Listing {
            revision: state.revision,
            objects: state.below(prefix),
        })
    }

    async fn list_stale(&self, prefix: &str) -> Result<Listing, Error> {
        self.state.borrow_mut().counts.stale_lists += 1;
        self.admit().await?;
        let state = self.state.borrow();
        Ok(Listing {
            revision: state.revision,
            objects: state.below(prefix),
        })
    }

    fn era(&self) -> Era {
        self.state.borrow().era
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: time::Duration,
    ) -> Result<Events, Error> {
        self.state.borrow_mut().counts.watches += 1;
        self.admit().await?;
        let deadline = time::Instant::now() + wait;
        loop {
            let woken = {
                let mut state = self.state.borrow_mut();
                if state.faults.gone || from < state.floor || from.era() != state.era {
                    return Err(Error::Gone);
                }
                let events = if state.faults.silent_watches {
                    Vec::new()
                } else {
                    state.since(prefix, from)
                };
                let left = deadline.saturating_duration_since(time::Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let revision = state.revision;
                    return Ok(Events { revision, events });
                }
                let (sender, woken) = oneshot::channel();
                state.watchers.push(sender);
                compio::time::timeout(left, woken)
            };
            // The loop looks again, whether it was woken or the time ran out.
            let _ = woken.await;
        }
    }
}

impl State {
    fn place(&self, key: &Key) -> Result<usize, usize> {
        self.objects.binary_search_by(|one| one.key.cmp(key))
    }

    /// Place of the object when it is at `expected`.
    fn check(&self, key: &Key, expected: Revision) -> Result<usize, Error> {
        let place = self.place(key).map_err(|_| Error::Conflict)?;
        if self.objects[place].revision == expected {
            Ok(place)
        } else {
            Err(Error::Conflict)
        }
    }

    fn put(&mut self, key: &Key, value: Vec<u8>) -> Revision {
        let revision = self.next_revision();
        let object = Object {
            key: key.clone(),
            revision,
            value,
        };
        match self.place(key) {
            Ok(place) => self.objects[place] = object.clone(),
            Err(place) => self.objects.insert(place, object.clone()),
        }
        self.record(Event::Put(object));
        revision
    }

    fn next_revision(&mut self) -> Revision {
        self.revision.0 += 1;
        self.revision
    }

    fn record(&mut self, event: Event) {
        self.history.push(event);
        for watcher in self.watchers.drain(..) {
            // A watcher whose time ran out is gone.
            let _ = watcher.send(());
        }
    }

    fn below(&self, prefix: &str) -> Vec<Object> {
        let start = self
            .objects
            .partition_point(|one| one.key.as_str() < prefix);
        let below = self.objects[start..].iter();
        below
            .take_while(|one| one.key.as_str().starts_with(prefix))
            .cloned()
            .collect()
    }

    fn since(&self, prefix: &str, from: Revision) -> Vec<Event> {
        let later = |event: &&Event| {
            let (key, revision) = match event {
                Event::Put(object) => (&object.key, object.revision),
                Event::Removed(key, revision) => (key, *revision),
            };
            revision > from && key.as_str().starts_with(prefix)
        };
        self.history.iter().filter(later).cloned().collect()
    }
}
