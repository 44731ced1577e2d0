//! Encoding and decoding of checkpoints.

use config::Snapshot;
use prost::Message;
use schema::config as wire;

/// Reasons why a checkpoint cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// Decompression failed, or the checkpoint is too large.
    #[error("the checkpoint cannot be decompressed")]
    Compression,
    /// Decoding failed.
    #[error("the checkpoint cannot be decoded")]
    Malformed,
    /// The content failed validation.
    #[error("the checkpoint is invalid: {0}")]
    Invalid(config::Findings),
}

/// Maximum size of a checkpoint before compression.
const MAX_BYTES: usize = 64 * 1024 * 1024;
/// Size of the length prefix of the compressed content.
const LENGTH_BYTES: usize = 4;

/// Encodes and compresses a snapshot.
pub(crate) fn encode(snapshot: &Snapshot) -> Vec<u8> {
    lz4_flex::compress_prepend_size(&snapshot.encode().encode_to_vec())
}

/// Decodes and validates a snapshot.
///
/// # Errors
/// See the variants of [`Error`].
pub(crate) fn decode(bytes: &[u8]) -> Result<Snapshot, Error> {
    let (length, _) = bytes
        .split_at_checked(LENGTH_BYTES)
        .ok_or(Error::Compression)?;
    let length: [u8; LENGTH_BYTES] = length.try_into().map_err(|_| Error::Compression)?;
    // The length is checked first, so that a corrupt one causes no large allocation.
    if u32::from_le_bytes(length) as usize > MAX_BYTES {
        return Err(Error::Compression);
    }
    let plain = lz4_flex::decompress_size_prepended(bytes).map_err(|_| Error::Compression)?;
    let checkpoint = wire::Checkpoint::decode(plain.as_slice()).map_err(|_| Error::Malformed)?;
    Snapshot::decode(&checkpoint).map_err(Error::Invalid)
}
