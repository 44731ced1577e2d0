//! Metadata that an ingress sends to an owner with a request.

use std::time;

use compact_str::{CompactString, ToCompactString};

use super::{BackendStatus, Headers, Problem, Reason};

units::record! {
    /// Metadata that an ingress sends to an owner with a request.
    pub struct Envelope {
        /// Id of this attempt, unique in the mesh.
        pub request: CompactString,
        /// Time by which the response has to be complete.
        pub deadline: time::Instant,
        /// Hash of the route name.
        pub route: u64,
        /// Time by which a response is wanted; a later one is worth little.
        pub target: time::Instant,
        /// Priority of the route among those of the service; zero is the most urgent.
        pub priority: u32,
        /// Attempt number, from 1, including the attempts of nodes above.
        pub attempt: u32,
        /// Number of calls above this one in the call chain.
        pub depth: u32,
        /// Service that the request is for.
        pub service: CompactString,
        /// Version that the request is for.
        pub version: CompactString,
        /// Caller that sends the request.
        pub caller: CompactString,
        /// Workspace that the request belongs to; empty without one.
        pub workspace: CompactString,
        /// Whether the request repeats another one or was caused by a repeated run.
        pub repeat: admission::Repeat,
        /// Whether the request was in flight at a backend server that crashed.
        pub suspect: bool,
        /// Backend status known to the ingress.
        pub backend_status: Option<BackendStatus>,
        /// Idempotency key of a request that is not idempotent by itself.
        pub key: Option<Key>,
    }
}

units::record! {
    /// Idempotency key of a request.
    pub struct Key {
        /// Key as sent by the caller.
        pub text: CompactString,
        /// Whether only the recorded result is requested.
        pub recall: bool,
        /// Time that the owner's records have to cover; zero if the request is sent for the first
        /// time.
        pub cover: time::Duration,
        /// Owner that is notified before the request runs.
        pub backup: Option<units::Address>,
        /// Id of another owner that is about to run the request, on a notification from that owner.
        pub note: Option<u64>,
    }
}

impl Key {
    /// Creates a key for a request that runs unless its result is on record.
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

    /// Creates a key that requests only the recorded result.
    #[must_use]
    pub fn recall(text: &CompactString, cover: time::Duration) -> Self {
        Self {
            recall: true,
            ..Self::run(text, cover)
        }
    }
}

impl Envelope {
    /// Longest time to the deadline that is accepted from another node.
    const DEADLINE_LIMIT: time::Duration = time::Duration::from_secs(3600);

    /// Writes the envelope into the headers of a request to another node.
    pub fn write(&self, headers: &mut http::HeaderMap, now: time::Instant) {
        self.write_public(headers, now);
        Headers::set(headers, Headers::SERVICE, &self.service);
        Headers::set(headers, Headers::VERSION, &self.version);
        Headers::set(headers, Headers::CALLER, &self.caller);
        let target = self.target.saturating_duration_since(now);
        Headers::set_number(headers, Headers::TARGET_MS, units::millis(target));
        Headers::set_number(headers, Headers::ROUTE, self.route);
        Headers::set_number(headers, Headers::PRIORITY, self.priority.into());
        if self.repeat.resent {
            Headers::set(headers, Headers::RESENT, "1");
        }
        if self.repeat.called_again != admission::Ancestry::NONE {
            let called_again = self.repeat.called_again.to_compact_string();
            Headers::set(headers, Headers::CALLED_AGAIN, &called_again);
        }
        if self.suspect {
            Headers::set(headers, Headers::SUSPECT, "1");
        }
        if let Some(backend_status) = &self.backend_status {
            backend_status.write(headers);
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

    /// Writes the headers that are also sent to the backend server.
    pub fn write_public(&self, headers: &mut http::HeaderMap, now: time::Instant) {
        let time_left = self.deadline.saturating_duration_since(now);
        Headers::set(headers, Headers::REQUEST, &self.request);
        Headers::set_number(headers, Headers::DEADLINE_MS, units::millis(time_left));
        Headers::set_number(headers, Headers::ATTEMPT, self.attempt.into());
        Headers::set_number(headers, Headers::DEPTH, self.depth.into());
        if !self.workspace.is_empty() {
            Headers::set(headers, Headers::WORKSPACE, &self.workspace);
        }
    }

    /// Returns the id of the caller's request, which all attempts share.
    #[must_use]
    pub fn caller_request(&self) -> &str {
        let parts = self.request.rsplit_once('.');
        parts.map_or(self.request.as_str(), |(request, _)| request)
    }

    /// Takes the time that the request has waited on its way into account: it has less time left, and
    /// records have to reach further back.
    pub fn subtract(&mut self, waited: time::Duration) {
        self.deadline = self.deadline.checked_sub(waited).unwrap_or(self.deadline);
        self.target = self.target.checked_sub(waited).unwrap_or(self.target);
        if let Some(key) = &mut self.key
            && !key.cover.is_zero()
        {
            key.cover = key.cover.saturating_add(waited);
        }
    }

    /// Reads the envelope from the headers of a request from another node.
    ///
    /// # Errors
    /// [`Reason::Malformed`] if a required header is missing.
    pub fn read(headers: &http::HeaderMap, now: time::Instant) -> Result<Self, Problem> {
        let malformed = || Problem::refused(Reason::Malformed);
        let text = |name| Headers::text(headers, &name).ok_or_else(malformed);
        let time_left = Headers::number(headers, &Headers::DEADLINE_MS).ok_or_else(malformed)?;
        let read_u32 = |name| {
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
        let deadline = now + time::Duration::from_millis(time_left).min(Self::DEADLINE_LIMIT);
        let target = Headers::number(headers, &Headers::TARGET_MS);
        let target = target.map(|target| now + time::Duration::from_millis(target.min(time_left)));
        Ok(Self {
            request: text(Headers::REQUEST)?,
            deadline,
            target: target.unwrap_or(deadline),
            route: Headers::number(headers, &Headers::ROUTE).unwrap_or_default(),
            priority: read_u32(Headers::PRIORITY).unwrap_or_default(),
            attempt: read_u32(Headers::ATTEMPT).ok_or_else(malformed)?,
            depth: read_u32(Headers::DEPTH).ok_or_else(malformed)?,
            service: text(Headers::SERVICE)?,
            version: text(Headers::VERSION)?,
            caller: text(Headers::CALLER)?,
            workspace: Headers::text(headers, &Headers::WORKSPACE).unwrap_or_default(),
            repeat: admission::Repeat {
                resent: headers.contains_key(Headers::RESENT),
                called_again: Headers::text(headers, &Headers::CALLED_AGAIN)
                    .and_then(|text| text.parse().ok())
                    .unwrap_or_default(),
            },
            suspect: headers.contains_key(Headers::SUSPECT),
            backend_status: BackendStatus::read(headers),
            key,
        })
    }
}
