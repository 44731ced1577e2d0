//! Bound on the head of an answer.

use std::cell;
use std::io;
use std::rc;

/// Bytes that may still come before the head of an answer is whole, answers in between included;
/// clones share them.
#[derive(Clone, Default)]
pub(crate) struct Head {
    /// `None` while no answer is awaited.
    left: rc::Rc<cell::Cell<Option<usize>>>,
}

impl Head {
    /// Longest head of an answer, in bytes.
    pub(crate) const BYTES: usize = 64 * 1024;

    /// A request is sent, whose answer has a head.
    pub(crate) fn await_answer(&self) {
        self.left.set(Some(Self::BYTES));
    }

    /// The head has come.
    pub(crate) fn arrived(&self) {
        self.left.set(None);
    }

    /// Whether a head is awaited.
    pub(crate) fn is_awaited(&self) -> bool {
        self.left.get().is_some()
    }

    /// Number of bytes received.
    ///
    /// # Errors
    /// [`io::ErrorKind::InvalidData`] when the head is longer than it may be.
    pub(crate) fn take(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.left.get() else {
            return Ok(());
        };
        let left = left.checked_sub(bytes);
        let left = left.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
        self.left.set(Some(left));
        Ok(())
    }
}
