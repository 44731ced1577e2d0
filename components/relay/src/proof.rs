//! Proof that the state in force at a node is complete up to a time.

use std::time;

use platform::Revision;
use units::Uptime;

/// Proof that a feed, and what is in force of it, contain everything that the store acknowledged before
/// a time.
///
/// Only answers to questions of this node are recorded, at a time no later than their question: an answer
/// may have lain in a socket while the node was cut off or frozen.
#[derive(Debug, Clone, Default)]
pub struct Proof {
    /// Latest proof for the feed.
    feed: Option<Mark>,
    /// Latest time that is proven for what is in force.
    in_force: Option<Uptime>,
    /// Revision of the feed up to which its changes are in force.
    applied: Option<Revision>,
}

/// A time up to which a feed was complete, and the head that it had then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Mark {
    at: Uptime,
    head: Revision,
}

impl Proof {
    /// Records that the feed with this `head` contains everything acknowledged before `at`.
    pub fn record(&mut self, at: Uptime, head: Revision) {
        if self.feed.is_none_or(|held| held.at < at) {
            self.feed = Some(Mark { at, head });
            self.advance();
        }
    }

    /// Records that the changes of the feed up to `revision` are in force.
    pub fn apply(&mut self, revision: Revision) {
        self.applied = self.applied.max(Some(revision));
        self.advance();
    }

    /// Whether the changes of the feed up to `head` are in force.
    #[must_use]
    pub fn is_applied(&self, head: Revision) -> bool {
        self.applied >= Some(head)
    }

    /// Time since the feed was proven to be complete; `None` if it never was.
    #[must_use]
    pub fn feed_age(&self, now: Uptime) -> Option<time::Duration> {
        self.feed.map(|mark| now.saturating_since(mark.at))
    }

    /// Time since what is in force was proven to be complete; `None` if it never was.
    #[must_use]
    pub fn age(&self, now: Uptime) -> Option<time::Duration> {
        self.in_force.map(|at| now.saturating_since(at))
    }

    fn advance(&mut self) {
        let reached = self.feed.filter(|mark| self.is_applied(mark.head));
        self.in_force = self.in_force.max(reached.map(|mark| mark.at));
    }
}
