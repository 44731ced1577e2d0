//! Why the system itself answers a request.

use std::fmt;

/// Why the system itself answers a request, in the header `radishgap-reason`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The owner refused it.
    Refused(admission::Reason),
    /// The connection to the next server failed it.
    Failed(upstream::Cause),
    /// No configuration has come yet.
    Unconfigured,
    /// No route matches its host and path.
    NoRoute,
    /// It has no valid host, path or headers.
    Malformed,
    /// The method is not supported.
    Method,
    /// Its body is longer than the route allows.
    BodyTooLong,
    /// Its caller broke its body off.
    BodyBroken,
    /// Its deadline passed.
    Deadline,
    /// Calls are nested too deep.
    TooDeep,
    /// The backend server crashed or lost its connections with the request on it.
    Crashed,
    /// The backend server answered that it failed, and no other one answered.
    Failure,
    /// The backend server refused it unexecuted.
    Shed,
    /// The version of the backend server is withheld.
    Withheld,
    /// A request with its key may have run at an owner that is gone.
    KeyUnknown,
    /// A request with its key ran, and its answer is no longer kept.
    KeyAnswered,
    /// An answer belonged to another request.
    Mismatched,
    /// Another node gave a reason that this one passes on.
    Remote(&'static str),
}

impl Reason {
    /// Reasons of owners that are well and only refuse the request.
    const REFUSALS: [&'static str; 21] = [
        "no-backend-server",
        "other-backend-server",
        "starting",
        "draining",
        "stopping",
        "queue-full",
        "too-late",
        "waited-too-long",
        "rate-limited",
        "retry-budget-spent",
        "quarantined",
        "keys-full",
        "key-reused",
        "key-not-found",
        "key-not-noted",
        "key-noted",
        "key-unknown",
        "key-answered",
        "backend-server-refused",
        "withheld",
        "body-broken",
    ];

    /// Further reasons of owners, which blame their backend server or a connection.
    const FAILURES: [&'static str; 9] = [
        "backend-server-crashed",
        "not-connected",
        "connection-closed",
        "stream-refused",
        "stream-reset",
        "connection-failed",
        "connection-silent",
        "deadline",
        "mismatched",
    ];

    /// Its text.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused(reason) => refusal(reason),
            Self::Failed(cause) => failure(cause),
            Self::Unconfigured => "no-configuration",
            Self::NoRoute => "no-route",
            Self::Malformed => "malformed",
            Self::Method => "method",
            Self::BodyTooLong => "body-too-long",
            Self::BodyBroken => "body-broken",
            Self::Deadline => "deadline",
            Self::TooDeep => "too-deep",
            Self::Crashed => "backend-server-crashed",
            Self::Failure => "backend-server-failed",
            Self::Shed => "backend-server-refused",
            Self::Withheld => "withheld",
            Self::KeyUnknown => "key-unknown",
            Self::KeyAnswered => "key-answered",
            Self::Mismatched => "mismatched",
            Self::Remote(text) => text,
        }
    }

    /// The reason that another node gave; unknown ones become one of their own.
    #[must_use]
    pub fn remote(text: &str) -> Self {
        let mut reasons = Self::REFUSALS.into_iter().chain(Self::FAILURES);
        let known = reasons.find(|known| *known == text);
        Self::Remote(known.unwrap_or("other"))
    }

    /// Whether both say the same, whichever node said it.
    #[must_use]
    pub fn is(self, other: Self) -> bool {
        self.as_str() == other.as_str()
    }

    /// Whether the owner is well and only refuses the request.
    #[must_use]
    pub fn is_refusal(self) -> bool {
        Self::REFUSALS.contains(&self.as_str()) || self.is(Self::BodyTooLong)
    }

    /// Whether the backend server has got the request, whatever became of it there.
    #[must_use]
    pub fn is_from_backend(self) -> bool {
        const REACHED: [&str; 7] = [
            "backend-server-refused",
            "backend-server-crashed",
            "connection-failed",
            "connection-silent",
            "stream-reset",
            "mismatched",
            "deadline",
        ];
        REACHED.contains(&self.as_str())
    }

    /// Whether no other backend server could take the request.
    #[must_use]
    pub fn is_final(self) -> bool {
        const FINAL: [&str; 7] = [
            "retry-budget-spent",
            "quarantined",
            "key-reused",
            "key-unknown",
            "key-answered",
            "body-too-long",
            "body-broken",
        ];
        FINAL.contains(&self.as_str())
    }
}

const fn refusal(reason: admission::Reason) -> &'static str {
    use admission::Reason;
    match reason {
        Reason::NoBackend => "no-backend-server",
        Reason::Mismatch => "other-backend-server",
        Reason::Starting => "starting",
        Reason::Draining => "draining",
        Reason::Stopping => "stopping",
        Reason::Full => "queue-full",
        Reason::Late => "too-late",
        Reason::Waited => "waited-too-long",
        Reason::Limited => "rate-limited",
        Reason::BudgetSpent => "retry-budget-spent",
        Reason::Quarantined => "quarantined",
        Reason::OverShare => "service-over-share",
        Reason::KeysFull => "keys-full",
        Reason::KeyReused => "key-reused",
        Reason::KeyNotFound => "key-not-found",
        Reason::KeyNoted => "key-noted",
        Reason::KeyNotNoted => "key-not-noted",
    }
}

const fn failure(cause: upstream::Cause) -> &'static str {
    use upstream::Cause;
    match cause {
        Cause::Connect => "not-connected",
        Cause::Unsent | Cause::GoAway => "connection-closed",
        Cause::Refused => "stream-refused",
        Cause::Reset => "stream-reset",
        Cause::Broken => "connection-failed",
        Cause::Silent => "connection-silent",
        Cause::Body => "body-broken",
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
