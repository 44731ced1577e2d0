//! Watches of the store while this node is responsible for them.

use std::cell;
use std::rc;
use std::time;

use platform::{Follower, Pace, Store};

use crate::answer::Answered;
use crate::feed_writer::FeedWriter;
use crate::shared::{Shared, Watch};
use crate::{Candidate, Topic};

/// A follower that is about to run, with what it needs.
type StartedFollower<S, L> = (Follower<S>, FeedWriter<S, L>, kernel::Stop);

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
                Some(Ok(listing)) => {
                    let waited = stop.guard(self.wait_for_kept_changes()).await;
                    if waited.is_none() {
                        return;
                    }
                    feed.borrow_mut().merge_listing(listing);
                    self.record_first_read();
                    self.record_head(&feed.borrow());
                }
                Some(Err(error)) => log::info!(event = "first-read-failed",
                    prefix = topic.prefix, error:% = error;
                    "first read of the store failed; pulling from other nodes"),
                None => return,
            }
        }
    }

    /// Waits for the feeds of a node that has kept what the store may have lost, no longer than a state is
    /// fresh from the start of this node.
    async fn wait_for_kept_changes(&self) {
        while !self.is_kept_or_unknown() {
            compio::time::sleep(Self::CHECK_INTERVAL / 10).await;
        }
    }

    /// Records that this node has read the store, in the era that the store names now: an empty feed has
    /// none of its own.
    pub(crate) fn record_first_read(&self) {
        if self.origin.era().is_none() {
            self.origin.record(self.parts.store.era());
        }
    }

    /// Starts and ends the watches of this node as its responsibility changes.
    pub(crate) async fn run_role(self: rc::Rc<Self>, stop: kernel::Stop) {
        if stop.guard(self.wait_for_members()).await.is_none() {
            return;
        }
        let mut checked = time::Instant::now();
        let mut started = None;
        while stop.sleep(Self::CHECK_INTERVAL).await {
            let now = time::Instant::now();
            log_delay(now.saturating_duration_since(checked + Self::CHECK_INTERVAL));
            checked = now;
            let candidate = self.candidate();
            let should_watch = self.should_watch(&candidate, started, now);
            if should_watch == candidate.watching {
                continue;
            }
            self.log_role(should_watch, &candidate);
            if should_watch {
                started = Some(now);
                self.start_watches();
            } else {
                self.watches.borrow_mut().clear();
            }
        }
        self.watches.borrow_mut().clear();
    }

    /// Ends the watches of a substitute that the store does not answer; it starts again after some time.
    pub(crate) fn end_failed_substitute(&self) {
        let candidate = self.candidate();
        if candidate.behind.is_some() {
            self.log_role(false, &candidate);
            self.watches.borrow_mut().clear();
        }
    }

    fn log_role(&self, watching: bool, candidate: &Candidate) {
        log::info!(event = "relay-watch", watching = watching, place:% = candidate.place,
            age_ms = units::millis(self.age()); "started or stopped watching the store");
    }

    /// Whether this node has to watch the store; it last `started` to do so at the given time.
    fn should_watch(
        &self,
        candidate: &Candidate,
        started: Option<time::Instant>,
        now: time::Instant,
    ) -> bool {
        let is_substitute = candidate.behind.is_some();
        let retry = self.intervals.retry.max(self.spread_of_nodes());
        let waits = started.is_some_and(|at| now.saturating_duration_since(at) < retry);
        if is_substitute && !candidate.watching && waits {
            return false;
        }
        let freshness = self.freshness.borrow();
        freshness.should_watch(candidate, now, &self.intervals)
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

    /// Starts the watches, each once the store has answered the one before it: a store that does not
    /// answer is called only once.
    fn start_watches(self: &rc::Rc<Self>) {
        self.count(|counts| counts.watches += 1);
        let mut watches = Vec::with_capacity(self.topics.len());
        let mut followers = Vec::with_capacity(self.topics.len());
        for topic in &self.topics {
            let (follower, nudge) = Follower::new(self.parts.store.clone(), self.pace(topic));
            let (trigger, stop) = kernel::stop();
            let answered = rc::Rc::new(cell::Cell::default());
            let writer = FeedWriter {
                shared: self.clone(),
                topic: *topic,
                answered: answered.clone(),
            };
            followers.push((follower, writer, stop));
            watches.push(Watch {
                nudge,
                answered,
                _trigger: trigger,
            });
        }
        *self.watches.borrow_mut() = watches;
        compio::runtime::spawn(self.clone().run_followers(followers)).detach();
    }

    async fn run_followers(self: rc::Rc<Self>, followers: Vec<StartedFollower<S, L>>) {
        for (follower, writer, stop) in followers {
            let from = self
                .feed(writer.topic.prefix)
                .and_then(|feed| feed.borrow().head());
            let (answered, waiting) = (writer.answered.clone(), stop.clone());
            compio::runtime::spawn(follower.run_from(writer, from, stop)).detach();
            while answered.get() == Answered::Never {
                if !waiting.sleep(Self::CHECK_INTERVAL / 10).await {
                    return;
                }
            }
        }
    }

    fn pace(&self, topic: &Topic) -> Pace {
        let settings = &self.parts.settings;
        Pace {
            wait: topic.wait.unwrap_or(self.intervals.evidence),
            pause: topic.pause,
            retry_least: settings.retry_least.0,
            retry_most: settings.retry_most.0,
        }
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
