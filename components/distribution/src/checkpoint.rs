//! Encoded checkpoints.

use config::Snapshot;
use prost::Message;
use schema::config as wire;

/// Why a checkpoint cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// It does not decompress, or is too large.
    #[error("the checkpoint does not decompress")]
    Compression,
    /// It does not decode.
    #[error("the checkpoint does not decode")]
    Malformed,
    /// Its content is wrong.
    #[error("the checkpoint is wrong: {0}")]
    Invalid(config::Findings),
}

/// Largest checkpoint before compression, in bytes.
const MOST_BYTES: usize = 64 * 1024 * 1024;
/// Bytes of the length in front of the compressed content.
const LENGTH_BYTES: usize = 4;

/// Encodes and compresses a snapshot.
pub(crate) fn encode(snapshot: &Snapshot) -> Vec<u8> {
    lz4_flex::compress_prepend_size(&snapshot.encode().encode_to_vec())
}

/// Reads a snapshot back and checks it whole.
///
/// # Errors
/// As of [`Error`].
pub(crate) fn decode(bytes: &[u8]) -> Result<Snapshot, Error> {
    let (length, _) = bytes
        .split_at_checked(LENGTH_BYTES)
        .ok_or(Error::Compression)?;
    let length: [u8; LENGTH_BYTES] = length.try_into().map_err(|_| Error::Compression)?;
    // The length is checked first, so that a damaged one does not allocate.
    if u32::from_le_bytes(length) as usize > MOST_BYTES {
        return Err(Error::Compression);
    }
    let plain = lz4_flex::decompress_size_prepended(bytes).map_err(|_| Error::Compression)?;
    let checkpoint = wire::Checkpoint::decode(plain.as_slice()).map_err(|_| Error::Malformed)?;
    Snapshot::decode(&checkpoint).map_err(Error::Invalid)
}
