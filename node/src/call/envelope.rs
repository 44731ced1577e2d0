//! What an ingress tells an owner about a request.

use std::time;

use compact_str::CompactString;

use super::{Headers, Need, Problem, Reason};

units::record! {
    /// What an ingress tells an owner about a request.
    pub struct Envelope {
        /// Id of this attempt, unique in the mesh.
        pub request: CompactString,
        /// When the answer has to be whole.
        pub deadline: time::Instant,
        /// Hash of its route's name.
        pub route: u64,
        /// When an answer is wanted; one that comes later is worth little.
        pub target: time::Instant,
        /// Rank of its route among those of the service; zero is the most urgent.
        pub priority: u32,
        /// Number of the attempt, from 1; those of nodes above count.
        pub attempt: u32,
        /// Calls above this one.
        pub depth: u32,
        /// Service that is meant.
        pub service: CompactString,
        /// Version that is meant.
        pub version: CompactString,
        /// Who sends the request.
        pub caller: CompactString,
        /// Whether it repeats a request, or a run that was a repeat called for it.
        pub repeat: admission::Repeat,
        /// Whether it was on a backend server that crashed.
        pub suspect: bool,
        /// What the ingress knows of a backend server in need.
        pub need: Option<Need>,
        /// Idempotency key of a request that is not idempotent by itself.
        pub key: Option<Key>,
    }
}

units::record! {
    /// Idempotency key of a request.
    pub struct Key {
        /// The key as the caller sent it.
        pub text: CompactString,
        /// Whether only the recorded end is wanted.
        pub recall: bool,
        /// Time that the owner's records have to cover; zero for a first sending.
        pub cover: time::Duration,
        /// The owner that is told before the request runs.
        pub backup: Option<units::Address>,
        /// Set when another owner tells that it is about to run the request: its id.
        pub note: Option<u64>,
    }
}

impl Key {
    /// The request is to run unless its end is on record.
    #[must_use]
    pub fn run(text: &CompactString, cover: time::Duration) -> Self {
        let text = text.clone();
        Self {
            text,
            recall: false,
            cover,
            backup: None,
            note: None,
        }
    }

    /// Only the recorded end is wanted.
    #[must_use]
    pub fn recall(text: &CompactString, cover: time::Duration) -> Self {
        Self {
            recall: true,
            ..Self::run(text, cover)
        }
    }
}

impl Envelope {
    /// Longest time that another node may leave.
    const DEADLINE_LIMIT: time::Duration = time::Duration::from_secs(3600);

    /// Writes it into the headers of a request to another node.
    pub fn write(&self, headers: &mut http::HeaderMap, now: time::Instant) {
        self.write_public(headers, now);
        Headers::set(headers, Headers::SERVICE, &self.service);
        Headers::set(headers, Headers::VERSION, &self.version);
        Headers::set(headers, Headers::CALLER, &self.caller);
        let wanted = self.target.saturating_duration_since(now);
        Headers::set_number(headers, Headers::TARGET_MS, units::millis(wanted));
        Headers::set_number(headers, Headers::ROUTE, self.route);
        Headers::set_number(headers, Headers::PRIORITY, self.priority.into());
        if self.repeat.resent {
            Headers::set(headers, Headers::RESENT, "1");
        }
        if self.repeat.called_again > units::Share::NONE {
            let parts = self.repeat.called_again.parts();
            Headers::set_number(headers, Headers::CALLED_AGAIN, parts.into());
        }
        if self.suspect {
            Headers::set(headers, Headers::SUSPECT, "1");
        }
        if let Some(need) = &self.need {
            need.write(headers);
        }
        let Some(key) = &self.key else {
            return;
        };
        if key.recall {
            Headers::set(headers, Headers::KEY_RECALL, "1");
        }
        Headers::set_number(headers, Headers::KEY_COVER_MS, units::millis(key.cover));
        if let Some(backup) = key.backup {
            Headers::set(headers, Headers::KEY_BACKUP, &backup.to_string());
        }
        if let Some(note) = key.note {
            Headers::set_number(headers, Headers::KEY_NOTE, note);
        }
    }

    /// Writes what the backend server learns.
    pub fn write_public(&self, headers: &mut http::HeaderMap, now: time::Instant) {
        let left = self.deadline.saturating_duration_since(now);
        Headers::set(headers, Headers::REQUEST, &self.request);
        Headers::set_number(headers, Headers::DEADLINE_MS, units::millis(left));
        Headers::set_number(headers, Headers::ATTEMPT, self.attempt.into());
        Headers::set_number(headers, Headers::DEPTH, self.depth.into());
    }

    /// Reads it from the headers of a request of another node.
    ///
    /// # Errors
    /// [`Reason::Malformed`] when a part is missing.
    pub fn read(headers: &http::HeaderMap, now: time::Instant) -> Result<Self, Problem> {
        let missing = || Problem::refused(Reason::Malformed);
        let text = |name| Headers::text(headers, &name).ok_or_else(missing);
        let left = Headers::number(headers, &Headers::DEADLINE_MS).ok_or_else(missing)?;
        let small = |name| {
            let number = Headers::number(headers, &name)?;
            u32::try_from(number).ok()
        };
        let cover = Headers::number(headers, &Headers::KEY_COVER_MS);
        let key = cover.and_then(|cover| {
            Some(Key {
                text: Headers::text(headers, &Headers::KEY)?,
                recall: headers.contains_key(Headers::KEY_RECALL),
                cover: time::Duration::from_millis(cover),
                backup: Headers::text(headers, &Headers::KEY_BACKUP)
                    .and_then(|backup| backup.parse().ok()),
                note: Headers::number(headers, &Headers::KEY_NOTE),
            })
        });
        let deadline = now + time::Duration::from_millis(left).min(Self::DEADLINE_LIMIT);
        let wanted = Headers::number(headers, &Headers::TARGET_MS);
        let wanted = wanted.map(|wanted| now + time::Duration::from_millis(wanted.min(left)));
        Ok(Self {
            request: text(Headers::REQUEST)?,
            deadline,
            target: wanted.unwrap_or(deadline),
            route: Headers::number(headers, &Headers::ROUTE).unwrap_or_default(),
            priority: small(Headers::PRIORITY).unwrap_or_default(),
            attempt: small(Headers::ATTEMPT).ok_or_else(missing)?,
            depth: small(Headers::DEPTH).ok_or_else(missing)?,
            service: text(Headers::SERVICE)?,
            version: text(Headers::VERSION)?,
            caller: text(Headers::CALLER)?,
            repeat: admission::Repeat {
                resent: headers.contains_key(Headers::RESENT),
                called_again: small(Headers::CALLED_AGAIN)
                    .and_then(units::Share::from_parts)
                    .unwrap_or_default(),
            },
            suspect: headers.contains_key(Headers::SUSPECT),
            need: Need::read(headers),
            key,
        })
    }
}
