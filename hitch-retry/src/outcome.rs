//! What became of a call, divided at the hand-over to the backend server.

use std::fmt;

/// What became of one attempt of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The backend server's whole answer is here.
    Answered,
    /// No byte of the call went to a backend server.
    NotRun(NotRun),
    /// The call may or may not have run.
    Unknown(Unknown),
}

/// Why a call was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NotRun {
    /// No backend server of the service is known or usable.
    NoBackendServer,
    /// The customer is over the limit of the rank.
    OverAdmit,
    /// The queue at the backend server is full, or the call was shed from it.
    QueueFull,
    /// The deadline passed or cannot be met.
    Deadline,
    /// The node or its backend server is leaving.
    Draining,
    /// The node is out of touch for too long to run the call.
    Stale,
    /// The call crashed backend servers before.
    CrashSuspect,
    /// Another node owns the idempotency key.
    NotOwner,
    /// No node owns the idempotency key yet.
    NoOwner,
    /// The idempotency key carries no date, or one too far from now.
    InvalidKey,
    /// The idempotency key came before with another body.
    KeyReused,
    /// The backend server accepted no connection.
    BackendRefused,
    /// The caller left before the call ran.
    CallerLeft,
    /// No contract of the customer is in force.
    UnknownCustomer,
    /// No route matches the method and path.
    NoRoute,
    /// Too many calls are above this one.
    TooDeep,
    /// The request is malformed.
    Malformed,
    /// The node holds no configuration yet.
    NotReady,
}

/// Why it is not known whether a call ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unknown {
    /// The connection broke after the hand-over.
    ConnectionLost,
    /// The answer ended before its stated length.
    ShortAnswer,
    /// The answer carried the id of another call.
    CrossedAnswer,
    /// The deadline passed after the hand-over.
    Deadline,
    /// The caller left after the hand-over.
    CallerLeft,
    /// The node that owned the idempotency key lost its memory.
    OwnerLost,
    /// The idempotency key is older than the keys still remembered.
    KeyExpired,
    /// The backend server answered with a server error, which does not say how far it got.
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
    /// Returns the fixed name of the reason on the wire.
    ///
    /// ```
    /// assert_eq!(hitch_retry::NotRun::QueueFull.name(), "queue-full");
    /// ```
    pub fn name(self) -> &'static str {
        name_of(&NOT_RUN, self)
    }

    /// Finds the reason with the given name.
    ///
    /// ```
    /// use hitch_retry::NotRun;
    ///
    /// assert_eq!(NotRun::try_from_name("stale"), Some(NotRun::Stale));
    /// assert_eq!(NotRun::try_from_name("short-answer"), None);
    /// ```
    pub fn try_from_name(name: &str) -> Option<NotRun> {
        by_name(&NOT_RUN, name)
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
    /// Returns the fixed name of the reason on the wire.
    ///
    /// ```
    /// assert_eq!(hitch_retry::Unknown::OwnerLost.name(), "owner-lost");
    /// ```
    pub fn name(self) -> &'static str {
        name_of(&UNKNOWN, self)
    }

    /// Finds the reason with the given name.
    ///
    /// ```
    /// use hitch_retry::Unknown;
    ///
    /// assert_eq!(Unknown::try_from_name("deadline"), Some(Unknown::Deadline));
    /// ```
    pub fn try_from_name(name: &str) -> Option<Unknown> {
        by_name(&UNKNOWN, name)
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
    /// Returns the outcome's fixed name on the wire.
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

    /// Returns the name of the reason, empty for an answer.
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
        .expect("every reason is listed")
}

fn by_name<T: Copy>(names: &[(T, &'static str)], name: &str) -> Option<T> {
    names
        .iter()
        .find(|(_, listed)| *listed == name)
        .map(|(reason, _)| *reason)
}
