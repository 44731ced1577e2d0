//! Search for the node that grants, and votes for it.

use std::time;

use units::{Node, Uptime};

/// State of a wallet's search for the granter.
#[derive(Debug, Default)]
pub(crate) struct Search {
    /// Node whose last reply granted.
    pub(crate) granter: Option<Node>,
    /// Node that another one named as the granter.
    hint: Option<Node>,
    /// Node for which this one voted, and the end of the time in which it votes for no other.
    bound: Option<(Node, Uptime)>,
    /// Time at which the granter said that it grants no longer.
    lost: Option<Uptime>,
    /// Nodes that did not reply, and the time until which they are not asked.
    avoided: Vec<(Node, Uptime)>,
    /// Last replies: node, random number of its process, stamp.
    contacts: Vec<(Node, u64, u64)>,
    /// Reports in a row that the granter did not answer.
    failures: u32,
    /// Reports while no node is known to grant.
    tries: usize,
}

impl Search {
    /// Candidates that are asked in turn, beside the first.
    const OTHERS: usize = 4;
    /// Failures in a row after which the granter is avoided.
    const FAILURES: u32 = 2;

    /// Chooses the receiver of the next report.
    pub(crate) fn choose(
        &mut self,
        candidates: &[Node],
        ttl: time::Duration,
        now: Uptime,
    ) -> Option<Node> {
        self.avoided.retain(|(_, until)| *until > now);
        let is_avoided = |node: &Node| self.avoided.iter().any(|(one, _)| one == node);
        if let Some(granter) = &self.granter {
            return Some(granter.clone());
        }
        self.tries += 1;
        if let Some(hint) = self.hint.take().filter(|hint| !is_avoided(hint)) {
            return Some(hint);
        }
        let mut usable: Vec<_> = candidates.iter().filter(|one| !is_avoided(one)).collect();
        if usable.is_empty() {
            usable = candidates.iter().collect();
        }
        let others = usable.len().saturating_sub(1).min(Self::OTHERS);
        if self.tries.is_multiple_of(2) && others > 0 {
            return Some(usable[1 + self.tries / 2 % others].clone());
        }
        let is_recent = |lost: Uptime| now.saturating_since(lost) < ttl;
        if let Some((node, until)) = &self.bound
            && *until > now
            && self.lost.is_some_and(is_recent)
            && !is_avoided(node)
        {
            return Some(node.clone());
        }
        usable.first().map(|node| (*node).clone())
    }

    /// Process and stamp to echo as a vote for `to`, if this node may vote for it.
    pub(crate) fn vote(
        &mut self,
        to: &Node,
        candidates: &[Node],
        ttl: time::Duration,
        now: Uptime,
    ) -> Option<(u64, u64)> {
        let contact = self.contacts.iter().find(|(node, ..)| node == to);
        let (_, process, stamp) = contact?;
        let bound = self.bound.as_ref().filter(|(_, until)| *until > now);
        let is_bound_here = bound.is_some_and(|(node, _)| node == to);
        let is_avoided = |node: &Node| self.avoided.iter().any(|(one, _)| one == node);
        let first = candidates.iter().find(|node| !is_avoided(node));
        let is_choice = self.granter.as_ref() == Some(to) || first == Some(to);
        let may = match bound {
            Some(_) => is_bound_here,
            None => is_choice,
        };
        // A vote that was not answered is not repeated, so that it does not bind for longer.
        if !may || self.failures > 0 {
            return None;
        }
        self.bound = Some((to.clone(), now + ttl));
        Some((*process, *stamp))
    }

    pub(crate) fn contact(&mut self, node: &Node, process: u64, stamp: u64) {
        self.contacts.retain(|(one, ..)| one != node);
        self.contacts.truncate(Self::OTHERS * 2);
        self.contacts.insert(0, (node.clone(), process, stamp));
        self.avoided.retain(|(one, _)| one != node);
    }

    pub(crate) fn begin_grants(&mut self, node: &Node) {
        self.failures = 0;
        self.lost = None;
        self.hint = None;
        self.granter = Some(node.clone());
    }

    pub(crate) fn end_grants(&mut self, node: &Node, ask: Option<Node>, now: Uptime) {
        self.failures = 0;
        if self.granter.as_ref() == Some(node) {
            self.granter = None;
            self.lost = Some(now);
        }
        self.hint = ask.filter(|ask| ask != node);
    }

    pub(crate) fn fail(&mut self, node: &Node, until: Uptime) {
        let is_granter = self.granter.as_ref() == Some(node);
        if is_granter {
            self.failures += 1;
            if self.failures < Self::FAILURES {
                return;
            }
        }
        self.failures = 0;
        if is_granter {
            self.granter = None;
        }
        self.avoided.retain(|(one, _)| one != node);
        self.avoided.push((node.clone(), until));
    }
}
