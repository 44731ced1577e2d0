//! Detection of mass failures.

/// Policy that distinguishes the failure of single members from the failure of many at once.
///
/// If a large part of a data centre or of the mesh becomes unresponsive at once, the network is the
/// likelier cause, so no member is declared dead: an unreachable member may still be running.
#[derive(Debug, Clone, Copy)]
pub struct MassFailure {
    share: units::Share,
}

/// Member counts of a group, such as a data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Group {
    /// Members before the event.
    pub members: usize,
    /// Members among them that are suspect or died within the window.
    pub unresponsive: usize,
}

impl MassFailure {
    /// Fewest unresponsive members that count as a mass failure, unless they are the whole group.
    pub const MIN_UNRESPONSIVE: usize = 3;
    /// Smallest group; a group of one cannot be distinguished from a single member.
    pub const MIN_GROUP: usize = 2;

    /// Creates a policy with the share of unresponsive members that counts as a mass failure.
    #[must_use]
    pub fn new(share: units::Share) -> Self {
        Self { share }
    }

    /// Whether the unresponsive members of `group` count as one event.
    #[must_use]
    pub fn applies_to(&self, group: Group) -> bool {
        let all = group.unresponsive >= group.members && group.members >= Self::MIN_GROUP;
        all || (group.unresponsive >= Self::MIN_UNRESPONSIVE && self.reaches_share(group))
    }

    fn reaches_share(&self, group: Group) -> bool {
        let whole = units::Share::WHOLE.parts() as usize;
        group.unresponsive * whole >= group.members * self.share.parts() as usize
    }
}
