//! Bytes of responses on their way to the client.

/// Bytes of responses on their way to the client, in order.
#[derive(Default)]
pub(crate) struct Outbox {
    bytes: Vec<u8>,
    written: usize,
}

impl Outbox {
    /// Number of bytes from which on no more are accepted.
    const FULL: usize = 8 * 1024;

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether more bytes are accepted; while the client does not read, they stay where they are.
    pub(crate) fn has_room(&self) -> bool {
        self.bytes.len() < Self::FULL
    }

    /// Moves `bytes` behind the others.
    pub(crate) fn append(&mut self, bytes: &mut Vec<u8>) {
        if self.bytes.is_empty() {
            self.bytes = std::mem::take(bytes);
        } else {
            self.bytes.append(bytes);
        }
    }

    pub(crate) fn unwritten(&self) -> &[u8] {
        &self.bytes[self.written..]
    }

    /// Drops the first `count` unwritten bytes; the memory is freed with the last one.
    pub(crate) fn advance(&mut self, count: usize) {
        self.written += count;
        if self.written == self.bytes.len() {
            *self = Self::default();
        }
    }
}
