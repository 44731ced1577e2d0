//! Recorder of request samples on the request path.

use std::cell;
use std::rc;

use compact_str::CompactString;
use routing::Sample;

use crate::{Evidence, Id};

units::record! { eq:
    /// Move whose requests are recorded.
    pub struct RecordedMove {
        /// Service of the move.
        pub service: CompactString,
        /// Old version, whose share is moved.
        pub from: CompactString,
        /// New version, which gets the share.
        pub to: CompactString,
        /// Id of the move.
        pub id: Id,
    }
}

/// Recorder of evidence from requests to the versions of running moves; clones share it.
///
/// For a request to any other service, the cost is one binary search in the list of running moves.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    /// Sorted by service.
    moves: rc::Rc<cell::RefCell<Vec<(RecordedMove, Evidence)>>>,
}

impl Recorder {
    /// Sets the moves to record, one per service, and drops the evidence of all others.
    pub fn record(&self, mut moves: Vec<RecordedMove>) {
        moves.sort();
        let mut held = self.moves.borrow_mut();
        let previous = std::mem::take(&mut *held);
        let mut previous = previous.into_iter().peekable();
        for recorded in moves {
            while previous.next_if(|entry| entry.0 < recorded).is_some() {}
            let same = previous.next_if(|entry| entry.0 == recorded);
            let evidence = same.map(|entry| entry.1).unwrap_or_default();
            held.push((recorded, evidence));
        }
    }

    /// Takes the evidence recorded since the last call, of the moves that have any.
    #[must_use]
    pub fn take(&self) -> Vec<(Id, Evidence)> {
        let mut held = self.moves.borrow_mut();
        let filled = held.iter_mut().filter(|entry| !entry.1.is_empty());
        filled
            .map(|entry| (entry.0.id.clone(), std::mem::take(&mut entry.1)))
            .collect()
    }
}

impl routing::Observer for Recorder {
    fn observe(&self, sample: &Sample) {
        let mut held = self.moves.borrow_mut();
        let Ok(position) = held.binary_search_by(|entry| entry.0.service.cmp(&sample.service))
        else {
            return;
        };
        let (recorded, evidence) = &mut held[position];
        let is_new = recorded.to == sample.version;
        if !is_new && recorded.from != sample.version {
            return;
        }
        let pair = evidence.route(&sample.route);
        let counts = if is_new { &mut pair.new } else { &mut pair.old };
        counts.add(sample.failed, sample.latency);
    }
}
