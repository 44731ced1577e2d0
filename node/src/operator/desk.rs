//! Answers calls of operators that need state of the node's own thread.

use distribution::Holder;
use futures_channel::oneshot;
use schema::operator as wire;

use crate::dump;

/// A question about the state of this node.
#[derive(Debug)]
pub enum Query {
    /// The configuration in force.
    Read(oneshot::Sender<wire::ReadReply>),
    /// The whole state.
    Dump(oneshot::Sender<wire::DumpReply>),
}

/// Answers [`Query`] messages.
pub struct Desk {
    inbox: kernel::Inbox<Query>,
    holder: Holder,
    dump: dump::Dump,
}

impl Desk {
    /// Answers what arrives in `inbox`.
    #[must_use]
    pub fn new(inbox: kernel::Inbox<Query>, holder: Holder, dump: dump::Dump) -> Self {
        Self {
            inbox,
            holder,
            dump,
        }
    }

    fn answer(&self, query: Query) {
        // A caller that is gone does not take its answer; nothing is lost by that.
        match query {
            Query::Read(answer) => {
                let configuration = Some(self.holder.get().encode());
                let _ = answer.send(wire::ReadReply { configuration });
            }
            Query::Dump(answer) => {
                let json = self.dump.collect().to_string();
                let _ = answer.send(wire::DumpReply { json });
            }
        }
    }
}

impl kernel::Service for Desk {
    const NAME: &'static str = "operator";

    async fn run(mut self, stop: kernel::Stop) {
        while let Some(Some(query)) = stop.guard(self.inbox.receive()).await {
            self.answer(query);
        }
    }
}
