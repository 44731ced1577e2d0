//! The members that this node probes and gossips with.

use std::rc;

use rand::seq::IndexedRandom;

use crate::{Member, Ranks, State};

/// The members that this node probes and gossips with, derived from one state of the table.
///
/// A small mesh is treated as one data centre; in a large one, probes and gossip stay within a data centre.
#[derive(Debug, Clone, Default)]
pub(crate) struct Scope {
    /// Running members in scope, without this node.
    near: Vec<rc::Rc<Member>>,
    /// Running members in other data centres; empty if the mesh is treated as one data centre.
    far: Vec<rc::Rc<Member>>,
    /// Data centres of the `far` members, sorted.
    far_centres: Vec<units::DataCentre>,
    ranks: Ranks,
    /// Whether the mesh is treated as one data centre.
    flat: bool,
    centre: Option<units::DataCentre>,
}

impl Scope {
    /// Creates the scope of `own` among `members`; data centres are handled separately if they have
    /// `centre_members` or more members on average.
    pub(crate) fn new(members: &[rc::Rc<Member>], own: &Member, centre_members: usize) -> Self {
        let is_running =
            |member: &&rc::Rc<Member>| matches!(member.state, State::Alive | State::Suspect);
        let running = || members.iter().filter(is_running);
        let mut centres: Vec<_> = running().map(|member| &member.data_centre).collect();
        centres.sort_unstable();
        centres.dedup();
        let flat = running().count() < centres.len() * centre_members;
        let others = running().filter(|member| member.node != own.node).cloned();
        let (near, far): (Vec<_>, Vec<_>) =
            others.partition(|member| flat || member.data_centre == own.data_centre);
        let mut far_centres: Vec<_> = far
            .iter()
            .map(|member| member.data_centre.clone())
            .collect();
        far_centres.sort();
        far_centres.dedup();
        Self {
            near,
            far,
            far_centres,
            ranks: Ranks::new(members.iter()),
            flat,
            centre: Some(own.data_centre.clone()),
        }
    }

    /// Members that this node probes and gossips with.
    pub(crate) fn near(&self) -> &[rc::Rc<Member>] {
        &self.near
    }

    /// Whether this node decides on suspicions of `member`, or leaves that to another data centre.
    pub(crate) fn decides_on(&self, member: &Member) -> bool {
        self.flat || self.centre.as_ref() == Some(&member.data_centre)
    }

    /// Number of members in the scope, including this node.
    pub(crate) fn size(&self) -> usize {
        self.near.len() + 1
    }

    /// The highest-ranked members of each data centre.
    pub(crate) fn ranks(&self) -> &Ranks {
        &self.ranks
    }

    /// Up to `count` random members of the scope, excluding `except`.
    pub(crate) fn sample(&self, count: usize, except: &units::Node) -> Vec<rc::Rc<Member>> {
        let mut rng = rand::rng();
        let chosen = self.near.choose_multiple(&mut rng, count + 1);
        let others = chosen.filter(|member| member.node != *except);
        others.take(count).cloned().collect()
    }

    /// Names of the data centres outside this scope, sorted.
    pub(crate) fn far_centres(&self) -> &[units::DataCentre] {
        &self.far_centres
    }

    /// A random member of data centre `name` that exchanges updates with other data centres.
    pub(crate) fn bridge(
        &self,
        name: &units::DataCentre,
        bridges: usize,
    ) -> Option<rc::Rc<Member>> {
        let mut rng = rand::rng();
        let first: Vec<_> = self.ranks.first(name, bridges).collect();
        if let Some(member) = first.choose(&mut rng) {
            return Some(rc::Rc::clone(member));
        }
        // No member is known to be alive; any of them may have recovered.
        let members: Vec<_> = self
            .far
            .iter()
            .filter(|member| member.data_centre == *name)
            .collect();
        members.choose(&mut rng).map(|member| rc::Rc::clone(member))
    }
}
