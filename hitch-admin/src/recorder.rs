//! Recording of the events of a process in a ring buffer and in its structured log.

use std::sync::Mutex;

use hitch_event::Clock;
use hitch_event::Event;
use hitch_event::Kind;
use hitch_event::Ring;
use hitch_event::Stamp;
use hitch_gate::shards::lock;
use hitch_gate::time::wall_ms;
use slog::Logger;

/// Records events in a ring buffer of limited size and in the structured log.
#[derive(Debug)]
pub struct Recorder {
    instance: Box<str>,
    log: Logger,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    clock: Clock,
    ring: Ring,
}

/// The configuration version and the call that an event concerns.
#[derive(Debug, Clone, Copy, Default)]
pub struct Subject<'a> {
    /// Configuration version, or 0.
    pub version: u64,
    /// Identifier of the call, or empty.
    pub call_id: &'a str,
}

impl Recorder {
    /// Creates a recorder for an instance, which keeps the last `events` events and also writes to
    /// `log`.
    ///
    /// ```
    /// let log = slog::Logger::root(slog::Discard, slog::o!());
    /// let recorder = hitch_admin::Recorder::new("i-1", log, 1024);
    /// assert!(recorder.events().is_empty());
    /// ```
    pub fn new(instance: &str, log: Logger, events: usize) -> Recorder {
        let state = State {
            clock: Clock::default(),
            ring: Ring::with_capacity(events),
        };
        Recorder {
            instance: instance.into(),
            log,
            state: Mutex::new(state),
        }
    }

    /// Returns the structured log.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// # let recorder = hitch_admin::Recorder::new("i-1", log, 1024);
    /// slog::info!(recorder.log(), "node: started");
    /// ```
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// Records an event of this process. `text` begins with the name of the component, such as
    /// `node:`.
    ///
    /// Events of single calls go to the ring buffer only, since they would flood the log.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// # let recorder = hitch_admin::Recorder::new("i-1", log, 1024);
    /// recorder.record(hitch_event::Kind::Ready, Default::default(), "node: ready");
    /// assert_eq!(recorder.events().len(), 1);
    /// ```
    pub fn record(&self, kind: Kind, subject: Subject<'_>, text: impl Into<Box<str>>) {
        let text = text.into();
        if subject.call_id.is_empty() {
            slog::info!(self.log, "{}", text; "version" => subject.version);
        }
        self.record_unlogged(kind, subject, text);
    }

    /// Records an event without a log line, for callers that write the line themselves.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// # let recorder = hitch_admin::Recorder::new("i-1", log, 1024);
    /// recorder.record_unlogged(hitch_event::Kind::Ready, Default::default(), "node: ready");
    /// assert_eq!(recorder.events().len(), 1);
    /// ```
    pub fn record_unlogged(&self, kind: Kind, subject: Subject<'_>, text: impl Into<Box<str>>) {
        let mut state = lock(&self.state);
        let stamp = state.clock.tick(wall_ms());
        state.ring.push(Event {
            stamp,
            instance: self.instance.clone(),
            kind,
            version: subject.version,
            call_id: subject.call_id.into(),
            text: text.into(),
        });
    }

    /// Returns the clock stamp for a message that is about to be sent.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// # let recorder = hitch_admin::Recorder::new("i-1", log, 1024);
    /// assert!(recorder.stamp() < recorder.stamp());
    /// ```
    pub fn stamp(&self) -> Stamp {
        lock(&self.state).clock.tick(wall_ms())
    }

    /// Advances the clock to the stamp of a received message, so that later events of this process
    /// sort after the events of the sender before the message.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// # let recorder = hitch_admin::Recorder::new("i-1", log, 1024);
    /// let remote = hitch_event::Stamp { wall_ms: u64::MAX / 2, logical: 3 };
    /// recorder.observe(remote);
    /// assert!(recorder.stamp() > remote);
    /// ```
    pub fn observe(&self, stamp: Stamp) {
        lock(&self.state).clock.observe(stamp, wall_ms());
    }

    /// Returns the events in the ring buffer, oldest first.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// let recorder = hitch_admin::Recorder::new("i-1", log, 1024);
    /// assert_eq!(recorder.events().len(), 0);
    /// ```
    pub fn events(&self) -> Vec<Event> {
        lock(&self.state).ring.iter().cloned().collect()
    }
}
