//! The members whose votes count.

use membership::{Member, State};
use units::{Node, Uptime};

use crate::Settings;

/// The members that are running, or were until a short time ago.
#[derive(Debug, Clone, Default)]
pub struct Electorate {
    /// Sorted by node.
    known: Vec<Known>,
}

#[derive(Debug, Clone)]
struct Known {
    node: Node,
    running: Uptime,
    left: bool,
}

impl Electorate {
    /// Records the members of a view.
    pub fn update<'m>(
        &mut self,
        members: impl Iterator<Item = &'m Member>,
        settings: &Settings,
        now: Uptime,
    ) {
        for member in members {
            self.record(member, now);
        }
        self.known.retain(|known| {
            let counted = match known.left {
                true => settings.left_count.0,
                false => settings.dead_count.0,
            };
            now.saturating_since(known.running) <= counted
        });
    }

    /// Number of members that count.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no member counts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn record(&mut self, member: &Member, now: Uptime) {
        let place = self
            .known
            .binary_search_by(|known| known.node.cmp(&member.node));
        let running = matches!(member.state, State::Alive | State::Suspect);
        match place {
            Ok(index) if running => {
                self.known[index].running = now;
                self.known[index].left = false;
            }
            Ok(index) => self.known[index].left = member.state == State::Left,
            Err(index) if running => {
                let known = Known {
                    node: member.node.clone(),
                    running: now,
                    left: false,
                };
                self.known.insert(index, known);
            }
            Err(_) => {}
        }
    }
}
