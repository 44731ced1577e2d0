//! Immutable view of the members, swapped whole.

use std::cell;
use std::rc;

use crate::{Member, State};

/// The members at one moment, sorted by node.
#[derive(Debug, Clone, Default)]
pub struct View {
    members: Vec<rc::Rc<Member>>,
    /// Raised with each new view.
    generation: u64,
}

impl View {
    /// A view of `members`, which are sorted by node here.
    #[must_use]
    pub fn new(mut members: Vec<rc::Rc<Member>>, generation: u64) -> Self {
        members.sort_by(|one, other| one.node.cmp(&other.node));
        Self {
            members,
            generation,
        }
    }

    /// All members, sorted by node.
    #[must_use]
    pub fn members(&self) -> &[rc::Rc<Member>] {
        &self.members
    }

    /// The member called `node`.
    #[must_use]
    pub fn member(&self, node: &units::Node) -> Option<&rc::Rc<Member>> {
        let place = self.members.binary_search_by(|one| one.node.cmp(node));
        place.ok().map(|place| &self.members[place])
    }

    /// Members that are not known to have failed or left.
    pub fn running(&self) -> impl Iterator<Item = &rc::Rc<Member>> {
        let running = |one: &&rc::Rc<Member>| matches!(one.state, State::Alive | State::Suspect);
        self.members.iter().filter(running)
    }

    /// Number of this view; a different one means that something changed.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }
}

/// Reads the current view; clones read the same one.
#[derive(Debug, Clone, Default)]
pub struct Reader {
    current: rc::Rc<cell::RefCell<rc::Rc<View>>>,
}

impl Reader {
    /// The current view.
    #[must_use]
    pub fn get(&self) -> rc::Rc<View> {
        self.current.borrow().clone()
    }

    /// Replaces the view.
    pub fn set(&self, view: View) {
        *self.current.borrow_mut() = rc::Rc::new(view);
    }
}
