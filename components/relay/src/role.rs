//! Watches of the store while this node is responsible for them.

use std::cell;
use std::rc;
use std::time;

use platform::{Follower, Pace, Store};

use crate::feed_writer::FeedWriter;
use crate::shared::{Shared, Watch};

impl<S: Store, L: peer::Link> Shared<S, L> {
    /// Time between two checks whether this node has to watch the store.
    const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
    /// Time without a change in the number of members after which a starting node trusts its view of them.
    const MEMBERS_STABLE: time::Duration = time::Duration::from_millis(150);

    /// Reads a state of the store that may be some seconds old, so that a node can serve before it knows
    /// other nodes.
    ///
    /// The watchers send the changes since then.
    pub(crate) async fn run_first_read(self: rc::Rc<Self>, stop: kernel::Stop) {
        for (topic, feed) in self.topics.iter().zip(&self.feeds) {
            let listed = stop.guard(self.parts.store.list_stale(topic.prefix)).await;
            match listed {
                Some(Ok(listing)) => feed.borrow_mut().merge(listing.objects),
                Some(Err(error)) => log::info!(event = "first-read-failed",
                    prefix = topic.prefix, error:% = error;
                    "first read of the store failed; pulling from other nodes"),
                None => return,
            }
        }
    }

    /// Starts and ends the watches of this node as its responsibility changes.
    pub(crate) async fn run_role(self: rc::Rc<Self>, stop: kernel::Stop) {
        if stop.guard(self.wait_for_members()).await.is_none() {
            return;
        }
        let mut checked = time::Instant::now();
        while stop.sleep(Self::CHECK_INTERVAL).await {
            let watching = self.is_watching();
            let now = time::Instant::now();
            log_delay(now.saturating_duration_since(checked + Self::CHECK_INTERVAL));
            checked = now;
            let freshness = self.freshness.get();
            let (place, watchers) = (self.place(), self.parts.settings.watchers);
            let should_watch =
                freshness.should_watch(place, watchers, watching, now, &self.intervals);
            if should_watch == watching {
                continue;
            }
            log::info!(event = "relay-watch", watching = should_watch, place:? = place,
                age_ms = units::millis(freshness.age(now));
                "started or stopped watching the store");
            if should_watch {
                self.start_watches();
            } else {
                self.watches.borrow_mut().clear();
            }
        }
        self.watches.borrow_mut().clear();
    }

    /// Waits until the view of the members is stable, but no longer than the age at which a state is stale.
    ///
    /// Without the wait, each of many nodes that start together would consider itself the first. A node
    /// that knows no other one waits for the full time, as all nodes find no others at first when the
    /// whole fleet starts for the first time.
    async fn wait_for_members(&self) {
        let started = time::Instant::now();
        let mut previous = 0;
        let mut unchanged_since = started;
        while started.elapsed() < self.intervals.stale_after {
            compio::time::sleep(Self::CHECK_INTERVAL).await;
            let members = self.parts.members.get().members().len();
            let alone = members <= 1;
            if alone || previous != members || !(self.parts.joined)() {
                previous = members;
                unchanged_since = time::Instant::now();
            }
            if unchanged_since.elapsed() >= Self::MEMBERS_STABLE {
                return;
            }
        }
    }

    fn start_watches(self: &rc::Rc<Self>) {
        self.count(|counts| counts.watches += 1);
        let settings = &self.parts.settings;
        let watches = self.topics.iter().map(|topic| {
            let pace = Pace {
                wait: topic.wait,
                pause: topic.pause,
                retry_least: settings.retry_least.0,
                retry_most: settings.retry_most.0,
            };
            let healthy = rc::Rc::new(cell::Cell::new(false));
            let writer = FeedWriter {
                shared: self.clone(),
                prefix: topic.prefix,
                healthy: healthy.clone(),
            };
            let (follower, nudge) = Follower::new(self.parts.store.clone(), pace);
            let (trigger, stop) = kernel::stop();
            compio::runtime::spawn(follower.run(writer, stop)).detach();
            Watch {
                nudge,
                healthy,
                _trigger: trigger,
            }
        });
        *self.watches.borrow_mut() = watches.collect();
    }
}

/// Delay of a timer beyond which a line is logged.
const LOGGED_DELAY: time::Duration = time::Duration::from_millis(200);

/// Logs that the tasks of this node had to wait for the processor.
fn log_delay(delay: time::Duration) {
    if delay > LOGGED_DELAY {
        log::info!(event = "loop-delayed", delay_ms = units::millis(delay); "a timer of the node fired late");
    }
}
