//! Makes a follower read again.

/// Makes a [`crate::Follower`] read again; clones make the same one.
///
/// For whoever hears from another node of a change that the watch has not told of: a watch can go
/// silent, which shows only when its time is over.
#[derive(Clone)]
pub struct Nudge {
    mailbox: kernel::Mailbox<()>,
}

impl Nudge {
    pub(crate) fn new(mailbox: kernel::Mailbox<()>) -> Self {
        Self { mailbox }
    }

    /// Asks it to read again, unless the watch tells of a change first.
    pub fn ring(&self) {
        // A full mailbox holds the same request; a closed one belongs to a node that stops.
        let _ = self.mailbox.send(());
    }
}
