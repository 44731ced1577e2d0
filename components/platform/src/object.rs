//! Objects and their revisions.

use compact_str::CompactString;

use crate::{Era, Revision};

units::record! { eq:
    /// Name of an object: path segments of letters, digits, `-`, `_` and `.`, separated by `/`.
    pub struct Key(CompactString);

    /// An object as it was read.
    pub struct Object {
        /// Its name.
        pub key: Key,
        /// Revision of its last write.
        pub revision: Revision,
        /// Its content.
        pub value: Vec<u8>,
    }

    /// All objects below a prefix, at one revision of the store.
    pub struct Listing {
        /// Revision of the store; a watch from here misses nothing.
        pub revision: Revision,
        /// The objects, sorted by key.
        pub objects: Vec<Object>,
    }

    /// A change of an object.
    pub enum Event {
        /// It was created or updated.
        Put(Object),
        /// It was removed at this revision.
        Removed(Key, Revision),
    }

    /// What a watch has seen, oldest first; empty when its time ran out.
    pub struct Events {
        /// Revision to watch from next.
        pub revision: Revision,
        /// The changes.
        pub events: Vec<Event>,
    }
}

impl Object {
    /// The object as read in `era`.
    pub(crate) fn in_era(mut self, era: Era) -> Option<Self> {
        self.revision = self.revision.in_era(era)?;
        Some(self)
    }
}

impl Listing {
    /// The listing as read in `era`.
    pub(crate) fn in_era(self, era: Era) -> Option<Self> {
        let objects = self.objects.into_iter().map(|object| object.in_era(era));
        Some(Self {
            revision: self.revision.in_era(era)?,
            objects: objects.collect::<Option<_>>()?,
        })
    }
}

impl Events {
    /// The events as seen in `era`.
    pub(crate) fn in_era(self, era: Era) -> Option<Self> {
        let events = self.events.into_iter().map(|event| match event {
            Event::Put(object) => object.in_era(era).map(Event::Put),
            Event::Removed(key, revision) => Some(Event::Removed(key, revision.in_era(era)?)),
        });
        Some(Self {
            revision: self.revision.in_era(era)?,
            events: events.collect::<Option<_>>()?,
        })
    }
}

impl Key {
    /// Longest key in bytes.
    pub const MAX_BYTES: usize = 256;

    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Display for Key {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::str::FromStr for Key {
    type Err = units::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let segment = |part: &str| !part.is_empty() && part.bytes().all(allowed);
        if text.len() <= Self::MAX_BYTES && text.split('/').all(segment) {
            Ok(Self(text.into()))
        } else {
            let expected = "a key: segments of letters, digits, `-`, `_`, `.` separated by `/`";
            Err(units::Error::new(text, expected))
        }
    }
}
