//! Collects what requests show, on the request path.

use std::cell;
use std::rc;

use compact_str::CompactString;
use routing::Sample;

use crate::{Evidence, Id};

units::record! { eq:
    /// A move whose requests are recorded.
    pub struct Recorded {
        /// Its service.
        pub service: CompactString,
        /// Version that gives its share.
        pub from: CompactString,
        /// Version that takes the share.
        pub to: CompactString,
        /// The move.
        pub id: Id,
    }
}

/// Collects what requests to the versions of running moves show; clones share it.
///
/// A request to any other service costs one binary search in the list of running moves.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    /// Sorted by service.
    moves: rc::Rc<cell::RefCell<Vec<(Recorded, Evidence)>>>,
}

impl Recorder {
    /// Records requests to `moves`, one a service, from now on; evidence of others is dropped.
    pub fn record(&self, mut moves: Vec<Recorded>) {
        moves.sort();
        let mut held = self.moves.borrow_mut();
        let taken = std::mem::take(&mut *held);
        let mut taken = taken.into_iter().peekable();
        for recorded in moves {
            while taken.next_if(|one| one.0 < recorded).is_some() {}
            let same = taken.next_if(|one| one.0 == recorded);
            let evidence = same.map(|one| one.1).unwrap_or_default();
            held.push((recorded, evidence));
        }
    }

    /// Takes what was seen since the last call, of the moves that saw anything.
    #[must_use]
    pub fn take(&self) -> Vec<(Id, Evidence)> {
        let mut held = self.moves.borrow_mut();
        let filled = held.iter_mut().filter(|one| !one.1.is_empty());
        filled
            .map(|one| (one.0.id.clone(), std::mem::take(&mut one.1)))
            .collect()
    }
}

impl routing::Observer for Recorder {
    fn observe(&self, sample: &Sample) {
        let mut held = self.moves.borrow_mut();
        let Ok(place) = held.binary_search_by(|one| one.0.service.cmp(&sample.service)) else {
            return;
        };
        let (recorded, evidence) = &mut held[place];
        let is_new = recorded.to == sample.version;
        if !is_new && recorded.from != sample.version {
            return;
        }
        let pair = evidence.route(&sample.route);
        let counts = if is_new { &mut pair.new } else { &mut pair.old };
        counts.add(sample.failed, sample.latency);
    }
}
