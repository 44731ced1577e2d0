//! Follows which data centres the operator evacuates.

use std::cell;
use std::time;

use platform::{Event, Follow, Follower, Key, Listing, Object, Pace, Store};
use routing::Evacuations;

use crate::call::{Dialect, Native, Owner};

/// Follows which data centres the operator evacuates, and tells the request path.
///
/// An object below the prefix, named like a data centre, evacuates that data centre until it is removed.
pub struct Watch<S, L, D = Native> {
    store: S,
    prefix: &'static str,
    evacuations: Evacuations,
    owner: Owner<L, D>,
    data_centre: units::DataCentre,
}

impl<S: Store, L: peer::Link, D: Dialect> Watch<S, L, D> {
    /// Time of one watch of the store, which is a replica in memory.
    const WAIT: time::Duration = time::Duration::from_secs(60);
    /// First wait after a failed call; it doubles up to the longest.
    const RETRY_LEAST: time::Duration = time::Duration::from_millis(100);
    /// Longest wait after failed calls.
    const RETRY_MOST: time::Duration = time::Duration::from_secs(1);

    /// Follows objects of `store` below `prefix` for `owner` in `data_centre`, and sets `evacuations`.
    #[must_use]
    pub fn new(
        store: S,
        prefix: &'static str,
        evacuations: Evacuations,
        owner: Owner<L, D>,
        data_centre: units::DataCentre,
    ) -> Self {
        Self {
            store,
            prefix,
            evacuations,
            owner,
            data_centre,
        }
    }
}

impl<S: Store, L: peer::Link, D: Dialect> kernel::Service for Watch<S, L, D> {
    const NAME: &'static str = "evacuation";

    async fn run(self, stop: kernel::Stop) {
        let pace = Pace {
            wait: Self::WAIT,
            pause: time::Duration::ZERO,
            retry_least: Self::RETRY_LEAST,
            retry_most: Self::RETRY_MOST,
        };
        // The nudge is kept so that the follower does not end.
        let (follower, _nudge) = Follower::new(self.store, pace);
        let reader = Reader {
            prefix: self.prefix,
            evacuations: self.evacuations,
            owner: self.owner,
            data_centre: self.data_centre,
            held: cell::RefCell::default(),
        };
        follower.run(reader, stop).await;
    }
}

/// Takes the objects that a follower reads.
struct Reader<L, D> {
    prefix: &'static str,
    evacuations: Evacuations,
    owner: Owner<L, D>,
    data_centre: units::DataCentre,
    /// Evacuated data centres.
    held: cell::RefCell<Vec<units::DataCentre>>,
}

impl<L: peer::Link, D: Dialect> Reader<L, D> {
    /// Data centre that the object at `key` evacuates; `None` if the key names none.
    fn data_centre(&self, key: &Key) -> Option<units::DataCentre> {
        let name = key.as_str().strip_prefix(self.prefix)?;
        name.parse().ok()
    }

    fn apply(&self, event: Event) {
        let (key, is_evacuated) = match &event {
            Event::Put(object) => (&object.key, true),
            Event::Removed(key, _) => (key, false),
        };
        let Some(data_centre) = self.data_centre(key) else {
            return;
        };
        let mut held = self.held.borrow_mut();
        held.retain(|one| *one != data_centre);
        if is_evacuated {
            held.push(data_centre);
        }
    }

    /// Tells the request path what is held.
    fn publish(&self) {
        let change = self.evacuations.set(self.held.borrow().clone());
        for data_centre in &change.began {
            log::info!(event = "evacuation-began", data_centre = data_centre.as_str();
                "backend servers of a data centre get no requests");
        }
        for data_centre in &change.ended {
            log::info!(event = "evacuation-ended", data_centre = data_centre.as_str();
                "backend servers of a data centre get requests again");
        }
        let is_evacuated = self.evacuations.contains(&self.data_centre);
        self.owner.set_evacuated(is_evacuated);
    }
}

impl<L: peer::Link, D: Dialect> Follow for Reader<L, D> {
    const NAME: &'static str = "evacuation";

    fn prefix(&self) -> &str {
        self.prefix
    }

    fn take(&self, objects: Vec<Object>) {
        self.take_events(objects.into_iter().map(Event::Put).collect());
    }

    fn take_listing(&self, listing: Listing) {
        self.held.borrow_mut().clear();
        self.take(listing.objects);
    }

    fn follows_removals(&self) -> bool {
        true
    }

    fn take_events(&self, events: Vec<Event>) {
        for event in events {
            self.apply(event);
        }
        self.publish();
    }
}
