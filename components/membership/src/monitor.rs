//! State of the membership service for the administration port.

use std::cell;
use std::rc;
use std::time;

use serde::Serialize;

use crate::counts::Counter;
use crate::{Counts, Health, Member, Table};

/// Read access to the state of the membership service; clones share the same state.
#[derive(Clone)]
pub struct Monitor {
    pub(crate) counter: Counter,
    pub(crate) table: rc::Rc<cell::RefCell<Table>>,
    pub(crate) health: rc::Rc<cell::Cell<Health>>,
    pub(crate) joined: rc::Rc<cell::Cell<Option<time::Instant>>>,
}

units::record! {
    /// State of the membership service.
    #[derive(Serialize)]
    pub struct Dump {
        /// Whether this node has loaded the view of another node, or knows that no other node exists.
        pub joined: bool,
        /// Health score of this node; zero is healthy.
        pub health: u32,
        /// Updates that are still being passed on.
        pub rumors: usize,
        /// Counters since the start of the process.
        pub counts: Counts,
        /// All members, including failed and departed ones that are still retained.
        pub members: Vec<Entry>,
    }

    /// State of one member.
    #[derive(Serialize)]
    pub struct Entry {
        /// The newest update.
        #[serde(flatten)]
        pub member: Member,
        /// Nodes that suspect the member.
        pub accusers: Vec<units::Node>,
        /// Whether the member is kept suspect because many others are unresponsive at the same time.
        pub held: bool,
        /// Whether the member did not answer and this node cannot rule out a fault of its own.
        pub doubted: bool,
    }
}

impl Monitor {
    /// The counters.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counter.get()
    }

    /// Whether this node has loaded the view of another node, or knows that no other node exists.
    #[must_use]
    pub fn is_joined(&self) -> bool {
        self.joined.get().is_some()
    }

    /// The whole state.
    #[must_use]
    pub fn dump(&self) -> Dump {
        let mut table = self.table.borrow_mut();
        let rumors = table.rumors().len();
        let entry = |record: &crate::Record| Entry {
            member: Member::clone(&record.member),
            accusers: record.accusers.clone(),
            held: record.held,
            doubted: record.doubted,
        };
        Dump {
            joined: self.is_joined(),
            health: self.health.get().score(),
            rumors,
            counts: self.counter.get(),
            members: table.records().iter().map(entry).collect(),
        }
    }
}
