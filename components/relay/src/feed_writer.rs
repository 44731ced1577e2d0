//! Updates of the feeds from this node's reads of the store.

use std::cell;
use std::rc;

use platform::{Error, Follow, Object, Store};

use crate::shared::{SERVICE, Shared};
use crate::source::Source;

/// Merges the objects that a watch of this node reads into a feed, and passes them on.
pub(crate) struct FeedWriter<S, L> {
    pub(crate) shared: rc::Rc<Shared<S, L>>,
    pub(crate) prefix: &'static str,
    /// Whether the store has answered and no call has failed since.
    pub(crate) healthy: rc::Rc<cell::Cell<bool>>,
}

impl<S: Store, L: peer::Link> Follow for FeedWriter<S, L> {
    const NAME: &'static str = SERVICE;

    fn prefix(&self) -> &str {
        self.prefix
    }

    fn take(&self, objects: Vec<Object>) {
        self.shared.merge_read(self.prefix, objects);
    }

    fn listed(&self) {
        self.healthy.set(true);
    }

    fn failed(&self, _error: &Error) {
        self.healthy.set(false);
    }
}

impl<S: Store, L: peer::Link> Shared<S, L> {
    /// Merges objects read below `prefix`; every change up to the newest of them must be included.
    pub(crate) fn merge_read(self: &rc::Rc<Self>, prefix: &str, objects: Vec<Object>) {
        let before = self.heads();
        let Some(feed) = self.feed(prefix) else {
            return;
        };
        let head = feed.borrow().head();
        feed.borrow_mut().merge(objects);
        if feed.borrow().head() != head {
            self.log_change(&feed.borrow(), head, Source::Store);
            self.spread_changes(&before);
        }
    }
}
