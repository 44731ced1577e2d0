//! Immutable view of the members, replaced as a whole.

use std::cell;
use std::rc;

use crate::{Member, State};

/// Snapshot of the members, sorted by node.
#[derive(Debug, Clone, Default)]
pub struct View {
    members: Vec<rc::Rc<Member>>,
    /// Number that increases with each new view.
    generation: u64,
}

impl View {
    /// Creates a view of `members`, which may be in any order.
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

    /// The member with the id `node`.
    #[must_use]
    pub fn member(&self, node: &units::Node) -> Option<&rc::Rc<Member>> {
        let index = self
            .members
            .binary_search_by(|member| member.node.cmp(node));
        index.ok().map(|index| &self.members[index])
    }

    /// Members that are alive or suspect.
    pub fn running(&self) -> impl Iterator<Item = &rc::Rc<Member>> {
        let is_running =
            |member: &&rc::Rc<Member>| matches!(member.state, State::Alive | State::Suspect);
        self.members.iter().filter(is_running)
    }

    /// Generation of this view; a different value means that the members changed.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }
}

/// Access to the current view; clones share the same view.
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
