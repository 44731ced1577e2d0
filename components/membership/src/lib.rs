//! Which nodes and backend servers there are, learned from announcements and gossip.

mod backend;
mod member;
mod view;

pub use backend::{Backend, Phase};
pub use member::{Member, State};
pub use view::{Reader, View};
