//! Watches the store while it is this node's duty.

use std::cell;
use std::rc;
use std::time;

use platform::{Follower, Pace, Store};

use crate::intake::Intake;
use crate::shared::{Shared, Watch};

impl<S: Store, L: peer::Link> Shared<S, L> {
    /// Time between two looks at whether this node has to watch.
    const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
    /// Time without a new member after which a starting node trusts its view of them.
    const SETTLED: time::Duration = time::Duration::from_millis(150);

    /// Reads what was in the store some seconds ago, so that a node can serve before it knows others.
    ///
    /// Whatever has changed since comes from the watchers.
    pub(crate) async fn run_first_read(self: rc::Rc<Self>, stop: kernel::Stop) {
        for (topic, feed) in self.topics.iter().zip(&self.feeds) {
            let listed = stop.guard(self.parts.store.list_stale(topic.prefix)).await;
            match listed {
                Some(Ok(listing)) => feed.borrow_mut().read(listing.objects),
                Some(Err(error)) => log::info!(event = "first-read-failed",
                    prefix = topic.prefix, error:% = error; "other nodes are asked"),
                None => return,
            }
        }
    }

    /// Watches the store whenever it is this node's duty.
    pub(crate) async fn run_role(self: rc::Rc<Self>, stop: kernel::Stop) {
        if stop.guard(self.settle()).await.is_none() {
            return;
        }
        while stop.sleep(Self::CHECK_INTERVAL).await {
            let watching = self.is_watching();
            let now = time::Instant::now();
            let coverage = self.coverage.get();
            let (place, watchers) = (self.place(), self.parts.settings.watchers);
            let duty = coverage.has_duty(place, watchers, watching, now, &self.times);
            if duty == watching {
                continue;
            }
            log::info!(event = "relay-watch", watching = duty, place:? = place,
                age_ms = units::millis(coverage.age(now));
                "the duty to watch the store has changed");
            if duty {
                self.start_watches();
            } else {
                self.watches.borrow_mut().clear();
            }
        }
        self.watches.borrow_mut().clear();
    }

    /// Waits until the members are known, so that not each of many that start together takes itself
    /// for the first; but not beyond the time after which a state is in doubt.
    ///
    /// A node that knows no other one waits that long: where all start for the first time, each finds
    /// nobody at first.
    async fn settle(&self) {
        let started = time::Instant::now();
        let mut seen = 0;
        let mut since = started;
        while started.elapsed() < self.times.stale {
            compio::time::sleep(Self::CHECK_INTERVAL).await;
            let members = self.parts.members.get().members().len();
            let alone = members <= 1;
            if alone || seen != members || !(self.parts.joined)() {
                seen = members;
                since = time::Instant::now();
            }
            if since.elapsed() >= Self::SETTLED {
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
            let intake = Intake {
                shared: self.clone(),
                prefix: topic.prefix,
                healthy: healthy.clone(),
            };
            let (follower, nudge) = Follower::new(self.parts.store.clone(), pace);
            let (trigger, stop) = kernel::stop();
            compio::runtime::spawn(follower.run(intake, stop)).detach();
            Watch {
                nudge,
                healthy,
                _trigger: trigger,
            }
        });
        *self.watches.borrow_mut() = watches.collect();
    }
}
