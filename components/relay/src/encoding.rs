//! Conversion between feeds and the parts of messages.

use platform::Revision;
use schema::relay as wire;

use crate::{Change, Delta, Feed};

/// Encodes the changes of `feed` after `after`; `None` if the feed has not been read yet.
///
/// A part with the full feed has no lower bound: its `after` is zero.
pub(crate) fn encode(feed: &Feed, after: Option<Revision>) -> Option<wire::Part> {
    let head = feed.head()?;
    let after = feed.lower_bound(after);
    let changes = feed.changes(after).into_iter();
    Some(wire::Part {
        prefix: feed.prefix().to_owned(),
        after: after.unwrap_or_default().0,
        head: head.0,
        objects: changes.map(encode_change).collect(),
    })
}

fn encode_change(change: Change) -> wire::Object {
    let steps = change.deltas.into_iter().map(|delta| wire::Step {
        base: delta.base.unwrap_or_default().0,
        revision: delta.revision.0,
        size: delta.size as u64,
        value: delta.compressed,
    });
    wire::Object {
        key: change.key.to_string(),
        steps: steps.collect(),
        removed: change.removed.unwrap_or_default().0,
    }
}

/// Decodes the changes of a part; `None` if one of them is malformed.
pub(crate) fn decode(part: &wire::Part) -> Option<Vec<Change>> {
    part.objects.iter().map(decode_change).collect()
}

fn decode_change(object: &wire::Object) -> Option<Change> {
    let deltas = object.steps.iter().map(|delta| {
        Some(Delta {
            base: revision(delta.base),
            revision: Revision(delta.revision),
            size: usize::try_from(delta.size).ok()?,
            compressed: delta.value.clone(),
        })
    });
    Some(Change {
        key: object.key.parse().ok()?,
        deltas: deltas.collect::<Option<_>>()?,
        removed: revision(object.removed),
    })
}

/// Lower bound of a part; `None` for a full feed.
pub(crate) fn after(part: &wire::Part) -> Option<Revision> {
    revision(part.after)
}

fn revision(number: u64) -> Option<Revision> {
    (number > 0).then_some(Revision(number))
}
