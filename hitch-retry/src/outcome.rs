//! Outcomes of call attempts, classified by whether the call was sent to a backend server.

use std::fmt;

/// Outcome of one attempt of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The answer of the backend server was received in full.
    Answered,
    /// No byte of the call was sent to a backend server.
    NotRun(NotRun),
    /// The call may or may not have run.
    Unknown(Unknown),
}

/// Why a call did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NotRun {
    /// No backend server of the service is known or usable.
    NoBackendServer,
    /// The customer exceeded its limit for the rank.
    OverAdmit,
    /// The queue in front of the backend server is full, or the call was shed from it.
    QueueFull,
    /// The deadline passed or cannot be met.
    Deadline,
    /// The node or its backend server is draining.
    Draining,
    /// The node has been out of contact with the configuration for too long to run the call.
    Stale,
    /// Backend servers crashed repeatedly while they ran the request.
    CrashSuspect,
    /// Another node owns the idempotency key.
    NotOwner,
    /// No node owns the idempotency key yet.
    NoOwner,
    /// The idempotency key has no timestamp, or one too far from the current time.
    InvalidKey,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The backend server did not accept the connection.
    BackendRefused,
    /// The caller disconnected before the call ran.
    CallerLeft,
    /// The customer has no contract in force.
    UnknownCustomer,
    /// No route matches the method and path.
    NoRoute,
    /// The chain of calls that led to this one is too long.
    TooDeep,
    /// The request is malformed.
    Malformed,
    /// The node has not received a configuration yet.
    NotReady,
}

/// Why it is not known whether a call ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unknown {
    /// The connection broke after the call was sent to the backend server.
    ConnectionLost,
    /// The answer ended before its declared length.
    ShortAnswer,
    /// The answer has the id of another call.
    CrossedAnswer,
    /// The deadline passed after the call was sent to the backend server.
    Deadline,
    /// The caller disconnected after the call was sent to the backend server.
    CallerLeft,
    /// The node that owned the idempotency key lost its in-memory state.
    OwnerLost,
    /// The idempotency key is older than the keys that are still retained.
    KeyExpired,
    /// The backend server answered with a server error, which does not say how much of the call ran.
    BackendFailed,
}

const NOT_RUN: [(NotRun, &str); 18] = [
    (NotRun::NoBackendServer, "no-backend-server"),
    (NotRun::OverAdmit, "over-admit"),
    (NotRun::QueueFull, "queue-full"),
    (NotRun::Deadline, "deadline"),
    (NotRun::Draining, "draining"),
    (NotRun::Stale, "stale"),
    (NotRun::CrashSuspect, "crash-suspect"),
    (NotRun::NotOwner, "not-owner"),
    (NotRun::NoOwner, "no-owner"),
    (NotRun::InvalidKey, "invalid-key"),
    (NotRun::KeyReused, "key-reused"),
    (NotRun::BackendRefused, "backend-refused"),
    (NotRun::CallerLeft, "caller-left"),
    (NotRun::UnknownCustomer, "unknown-customer"),
    (NotRun::NoRoute, "no-route"),
    (NotRun::TooDeep, "too-deep"),
    (NotRun::Malformed, "malformed"),
    (NotRun::NotReady, "not-ready"),
];

const UNKNOWN: [(Unknown, &str); 8] = [
    (Unknown::ConnectionLost, "connection-lost"),
    (Unknown::ShortAnswer, "short-answer"),
    (Unknown::CrossedAnswer, "crossed-answer"),
    (Unknown::Deadline, "deadline"),
    (Unknown::CallerLeft, "caller-left"),
    (Unknown::OwnerLost, "owner-lost"),
    (Unknown::KeyExpired, "key-expired"),
    (Unknown::BackendFailed, "backend-failed"),
];

impl NotRun {
    /// Returns the stable wire name of the reason.
    ///
    /// ```
    /// assert_eq!(hitch_retry::NotRun::QueueFull.name(), "queue-full");
    /// ```
    pub fn name(self) -> &'static str {
        name_of(&NOT_RUN, self)
    }

    /// Finds the reason with the given wire name; `None` if the name is unknown.
    ///
    /// ```
    /// use hitch_retry::NotRun;
    ///
    /// assert_eq!(NotRun::try_from_name("stale"), Some(NotRun::Stale));
    /// assert_eq!(NotRun::try_from_name("short-answer"), None);
    /// ```
    pub fn try_from_name(name: &str) -> Option<NotRun> {
        reason_of(&NOT_RUN, name)
    }

    /// Iterates over all reasons.
    ///
    /// ```
    /// assert_eq!(hitch_retry::NotRun::all().count(), 18);
    /// ```
    pub fn all() -> impl Iterator<Item = NotRun> {
        NOT_RUN.iter().map(|(reason, _)| *reason)
    }
}

impl Unknown {
    /// Returns the stable wire name of the reason.
    ///
    /// ```
    /// assert_eq!(hitch_retry::Unknown::OwnerLost.name(), "owner-lost");
    /// ```
    pub fn name(self) -> &'static str {
        name_of(&UNKNOWN, self)
    }

    /// Finds the reason with the given wire name; `None` if the name is unknown.
    ///
    /// ```
    /// use hitch_retry::Unknown;
    ///
    /// assert_eq!(Unknown::try_from_name("deadline"), Some(Unknown::Deadline));
    /// ```
    pub fn try_from_name(name: &str) -> Option<Unknown> {
        reason_of(&UNKNOWN, name)
    }

    /// Iterates over all reasons.
    ///
    /// ```
    /// assert_eq!(hitch_retry::Unknown::all().count(), 8);
    /// ```
    pub fn all() -> impl Iterator<Item = Unknown> {
        UNKNOWN.iter().map(|(reason, _)| *reason)
    }
}

impl Outcome {
    /// Returns the stable wire name of the outcome.
    ///
    /// ```
    /// use hitch_retry::NotRun;
    /// use hitch_retry::Outcome;
    ///
    /// assert_eq!(Outcome::NotRun(NotRun::Stale).name(), "not-run");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun(_) => "not-run",
            Outcome::Unknown(_) => "unknown",
        }
    }

    /// Returns the stable wire name of the reason, empty for an answer.
    ///
    /// ```
    /// assert_eq!(hitch_retry::Outcome::Answered.reason(), "");
    /// ```
    pub fn reason(self) -> &'static str {
        match self {
            Outcome::Answered => "",
            Outcome::NotRun(reason) => reason.name(),
            Outcome::Unknown(reason) => reason.name(),
        }
    }
}

impl fmt::Display for NotRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl fmt::Display for Unknown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

fn name_of<T: Copy + PartialEq>(names: &[(T, &'static str)], reason: T) -> &'static str {
    names
        .iter()
        .find(|(listed, _)| *listed == reason)
        .map(|(_, name)| *name)
        .expect("every reason has a name")
}

fn reason_of<T: Copy>(names: &[(T, &'static str)], name: &str) -> Option<T> {
    names
        .iter()
        .find(|(_, listed)| *listed == name)
        .map(|(reason, _)| *reason)
}
