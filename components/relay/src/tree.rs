//! Tree along which a message is forwarded.

/// Splits `targets` into up to `fanout` parts; the message goes to the first target of each part, which
/// forwards it to the rest of the part.
///
/// Each message carries its targets, so that it reaches all of them even if nodes have different views of
/// the members.
#[must_use]
pub fn split<T: Clone>(targets: &[T], fanout: usize) -> Vec<Vec<T>> {
    let parts = fanout.clamp(1, targets.len().max(1));
    let size = targets.len().div_ceil(parts).max(1);
    targets.chunks(size).map(<[T]>::to_vec).collect()
}
