//! Counters of the moves service.

use std::cell;

/// A counter that is raised through a shared reference.
#[derive(Debug, Default)]
pub(crate) struct Counter(cell::Cell<u64>);

impl Counter {
    /// Raises the counter by `count`.
    pub(crate) fn add(&self, count: u64) {
        self.0.set(self.0.get() + count);
    }

    /// The count.
    pub(crate) fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Defines the counters and the snapshot of them.
macro_rules! tally {
    ($($(#[$doc:meta])* $name:ident,)+) => {
        /// Counters of the moves service on this node.
        #[derive(Debug, Default)]
        pub(crate) struct Tally {
            $($(#[$doc])* pub(crate) $name: Counter,)+
        }

        /// Counts of the moves service on this node since its start.
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
        pub struct Snapshot {
            $($(#[$doc])* pub $name: u64,)+
        }

        impl Tally {
            /// The counts.
            pub(crate) fn snapshot(&self) -> Snapshot {
                Snapshot { $($name: self.$name.get(),)+ }
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
    /// Alarms and records that were new to this node when they arrived from another.
    news,
    /// Messages to other nodes.
    messages,
    /// Bytes of those messages, without the envelope.
    bytes,
    /// Reads, writes and lists of the platform, without leases and watches.
    calls,
    /// Watches of the platform.
    watches,
    /// Attempts at leases.
    leases,
    /// Writes that were left out because the lease had lapsed.
    lapsed,
    /// Writes whose answers were lost and that were settled by reading back.
    settled,
    /// Violations: a move that has ended changed, or ended twice.
    second_ends,
    /// Violations: a share was about to grow although the version is withheld.
    late_steps,
}
