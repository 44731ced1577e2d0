//! Counters of the moves service.

use std::cell;

/// Counter that can be incremented through a shared reference.
#[derive(Debug, Default)]
pub(crate) struct Counter(cell::Cell<u64>);

impl Counter {
    /// Increments the counter by `count`.
    pub(crate) fn add(&self, count: u64) {
        self.0.set(self.0.get() + count);
    }

    /// The current count.
    pub(crate) fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Defines the counters and their snapshot.
macro_rules! tally {
    ($($(#[$doc:meta])* $name:ident,)+) => {
        /// Counters of the moves service on this node.
        #[derive(Debug, Default)]
        pub(crate) struct Tally {
            $($(#[$doc])* pub(crate) $name: Counter,)+
        }

        /// Counts of the moves service on this node since its start.
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
        pub struct CounterSnapshot {
            $($(#[$doc])* pub $name: u64,)+
        }

        impl Tally {
            /// The counts.
            pub(crate) fn snapshot(&self) -> CounterSnapshot {
                CounterSnapshot { $($name: self.$name.get(),)+ }
            }
        }
    };
}

tally! {
    /// Moves that were started through this node.
    started,
    /// Moves that this node's runners ended as done.
    done,
    /// Moves that this node's runners ended as taken back.
    taken_back,
    /// Steps upward that this node's runners took.
    steps,
    /// Claims of moves by this node's runners.
    claims,
    /// Alarms that this node raised.
    alarms,
    /// Alarms and records from other nodes that were new to this node.
    news,
    /// Messages sent to other nodes.
    messages,
    /// Bytes of the messages sent to other nodes, without the envelope.
    bytes,
    /// Read, write and list calls to the platform, without leases and watches.
    calls,
    /// Watch calls to the platform.
    watches,
    /// Attempts to acquire leases.
    leases,
    /// Writes that were skipped because the lease had lapsed.
    lapsed,
    /// Writes whose answers were lost and whose outcomes were determined by reading back.
    settled,
    /// Invariant violations: an ended move changed or ended a second time.
    second_ends,
    /// Invariant violations: the share of a withheld version was about to grow.
    late_steps,
}
