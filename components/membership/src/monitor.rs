//! Shows the state of the membership service to the administration port.

use std::cell;
use std::rc;
use std::time;

use serde::Serialize;

use crate::counts::Counter;
use crate::{Counts, Health, Member, Table};

/// Shows the state of the membership service; clones show the same one.
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
        /// Whether this node has taken the view of another node, or knows that there is none.
        pub joined: bool,
        /// Score of this node's own health; zero is good.
        pub health: u32,
        /// Pieces of news that are still being passed on.
        pub rumors: usize,
        /// Counters.
        pub counts: Counts,
        /// All members, with those that failed or left and are not forgotten yet.
        pub members: Vec<Entry>,
    }

    /// What is kept of one member.
    #[derive(Serialize)]
    pub struct Entry {
        /// The newest news.
        #[serde(flatten)]
        pub member: Member,
        /// Nodes that suspect it.
        pub accusers: Vec<units::Node>,
        /// It is silent together with many others.
        pub held: bool,
        /// It does not answer this node, which cannot tell whether that is its own fault.
        pub doubted: bool,
    }
}

impl Monitor {
    /// The counters.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counter.get()
    }

    /// Whether this node has taken the view of another node, or knows that there is none.
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
