//! Tells the failure of single members from that of many at once.

/// Tells the failure of single members from that of many at once.
///
/// When much of a data centre or of the mesh falls silent together, the network between is the
/// likelier cause, so that nobody is declared dead: unreachable is not gone.
#[derive(Debug, Clone, Copy)]
pub struct Herd {
    share: units::Share,
}

/// Members of a group, such as a data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Group {
    /// Members that were there before the event.
    pub members: usize,
    /// Members of them that are suspect or died within the window.
    pub silent: usize,
}

impl Herd {
    /// Fewer silent members are never a herd, unless they are the whole group.
    pub const LEAST: usize = 3;
    /// A smaller group cannot be told from a single member.
    pub const LEAST_GROUP: usize = 2;

    /// A policy by the share of silent members.
    #[must_use]
    pub fn new(share: units::Share) -> Self {
        Self { share }
    }

    /// Whether the silent members of `group` count as one event.
    #[must_use]
    pub fn includes(&self, group: Group) -> bool {
        let whole = group.silent >= group.members && group.members >= Self::LEAST_GROUP;
        whole || (group.silent >= Self::LEAST && self.exceeds(group))
    }

    fn exceeds(&self, group: Group) -> bool {
        let whole = units::Share::WHOLE.parts() as usize;
        group.silent * whole >= group.members * self.share.parts() as usize
    }
}
