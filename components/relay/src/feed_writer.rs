//! Updates of the feeds from this node's reads of the store.

use std::cell;
use std::rc;
use std::time;

use platform::{Error, Event, Follow, Listing, Object, Store};
use units::Uptime;

use crate::answer::Answered;
use crate::schedule;
use crate::shared::{SERVICE, Shared};
use crate::source::Source;
use crate::{Feed, Topic};

/// Merges the objects that a watch of this node reads into a feed, and passes them on.
pub(crate) struct FeedWriter<S, L> {
    pub(crate) shared: rc::Rc<Shared<S, L>>,
    pub(crate) topic: Topic,
    /// Latest answer of the store.
    pub(crate) answered: rc::Rc<cell::Cell<Answered>>,
}

impl<S: Store, L: peer::Link> Follow for FeedWriter<S, L> {
    const NAME: &'static str = SERVICE;

    fn prefix(&self) -> &str {
        self.topic.prefix
    }

    fn take(&self, objects: Vec<Object>) {
        self.shared
            .merge_read(self.topic.prefix, |feed| feed.merge(objects));
    }

    fn take_listing(&self, listing: Listing) {
        self.shared
            .merge_read(self.topic.prefix, |feed| feed.merge_listing(listing));
    }

    fn follows_removals(&self) -> bool {
        self.topic.removals
    }

    fn take_events(&self, events: Vec<Event>) {
        self.shared
            .merge_read(self.topic.prefix, |feed| feed.merge_events(events));
    }

    fn answered(&self, at: time::Instant) {
        self.answered.set(Answered::At(at));
        self.shared.record_answer();
    }

    fn complete(&self, at: Uptime) {
        self.shared.record_read_proof(self.topic.prefix, at);
    }

    fn next_wait(&self) -> Option<time::Duration> {
        match self.topic.wait {
            Some(_) => None,
            None => Some(self.shared.scheduled_wait()),
        }
    }

    fn failed(&self, error: &Error) {
        // History that is gone is listed anew.
        if *error != Error::Gone {
            self.answered.set(Answered::Failed);
            self.shared.end_failed_substitute();
        }
    }
}

impl<S: Store, L: peer::Link> Shared<S, L> {
    /// Wait with which the next watch of this node ends in its turn.
    fn scheduled_wait(&self) -> time::Duration {
        let freshness = self.freshness.borrow();
        let watchers = self.parts.settings.watchers;
        let now = time::Instant::now();
        schedule::next_wait(
            self.place(),
            freshness.evidence(),
            watchers,
            now,
            &self.intervals,
        )
    }

    /// Merges what was read below `prefix`; every change up to the newest of them must be included.
    pub(crate) fn merge_read(self: &rc::Rc<Self>, prefix: &str, merge: impl FnOnce(&mut Feed)) {
        let before = self.heads();
        let Some(feed) = self.feed(prefix) else {
            return;
        };
        let head = feed.borrow().head();
        merge(&mut feed.borrow_mut());
        if feed.borrow().head() != head {
            self.record_first_read();
            self.record_change(&feed.borrow(), head, Source::Store);
            self.spread_changes(&before);
        }
    }
}
