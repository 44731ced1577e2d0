//! Evidence that the state of a node is complete.

use std::time;

use schema::relay as wire;

use crate::Place;

units::record! { eq:
    /// An answer of the store, from which it follows that a state was complete.
    #[derive(Copy)]
    pub struct Evidence {
        /// Time up to which the state contains all changes.
        pub at: time::Instant,
        /// Place of the node that the store answered.
        pub place: Place,
    }
}

impl Evidence {
    /// Age in a message without evidence.
    const UNKNOWN_AGE_MS: u64 = u64::MAX;

    /// Reads the evidence in a message, whose age is counted back from `reference`; `None` if there is none.
    fn from_wire(age_ms: u64, place: u32, reference: time::Instant) -> Option<Self> {
        if age_ms == Self::UNKNOWN_AGE_MS {
            return None;
        }
        let age = time::Duration::from_millis(age_ms);
        Some(Self {
            at: reference.checked_sub(age)?,
            place: Place::from_wire(place),
        })
    }

    /// Age in milliseconds and place, as they are sent to other nodes.
    pub(crate) fn to_wire(evidence: Option<Self>) -> (u64, u32) {
        evidence.map_or((Self::UNKNOWN_AGE_MS, 0), |evidence| {
            let age_ms = units::millis(evidence.at.elapsed());
            (age_ms, evidence.place.to_wire())
        })
    }

    /// Evidence of a push message.
    pub(crate) fn of_push(push: &wire::Push) -> Option<Self> {
        Self::from_wire(push.age_ms, push.place, time::Instant::now())
    }

    /// Evidence of a reply to a request that was sent at `asked`.
    pub(crate) fn of_reply(reply: &wire::Reply, asked: time::Instant) -> Option<Self> {
        Self::from_wire(reply.age_ms, reply.place, asked)
    }
}
