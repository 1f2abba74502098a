//! Events of this process, in its ring and in its structured log.

use std::sync::Mutex;

use hitch_event::Clock;
use hitch_event::Event;
use hitch_event::Kind;
use hitch_event::Ring;
use hitch_event::Stamp;
use hitch_gate::shards::lock;
use hitch_gate::time::wall_ms;
use slog::Logger;

/// Records events.
#[derive(Debug)]
pub struct Recorder {
    instance: Box<str>,
    log: Logger,
    section: Mutex<Section>,
}

#[derive(Debug)]
struct Section {
    clock: Clock,
    ring: Ring,
}

/// What an event concerns.
#[derive(Debug, Clone, Copy, Default)]
pub struct Subject<'a> {
    /// Configuration version, or 0.
    pub version: u64,
    /// Identity of the call, or empty.
    pub call_id: &'a str,
}

impl Recorder {
    /// Makes a recorder for an instance that keeps the last `events` and also writes to `log`.
    ///
    /// ```
    /// let log = slog::Logger::root(slog::Discard, slog::o!());
    /// let recorder = hitch_admin::Recorder::new("i-1", log, 1024);
    /// assert!(recorder.events().is_empty());
    /// ```
    pub fn new(instance: &str, log: Logger, events: usize) -> Recorder {
        let section = Section {
            clock: Clock::default(),
            ring: Ring::with_capacity(events),
        };
        Recorder {
            instance: instance.into(),
            log,
            section: Mutex::new(section),
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

    /// Records an event of this process. `text` begins with the prefix of its part.
    ///
    /// Events of single calls go to the ring only, since they would flood the log.
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

    /// Records an event whose log line the caller writes itself.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// # let recorder = hitch_admin::Recorder::new("i-1", log, 1024);
    /// recorder.record_unlogged(hitch_event::Kind::Ready, Default::default(), "node: ready");
    /// assert_eq!(recorder.events().len(), 1);
    /// ```
    pub fn record_unlogged(&self, kind: Kind, subject: Subject<'_>, text: impl Into<Box<str>>) {
        let mut section = lock(&self.section);
        let stamp = section.clock.tick(wall_ms());
        section.ring.push(Event {
            stamp,
            instance: self.instance.clone(),
            kind,
            version: subject.version,
            call_id: subject.call_id.into(),
            text: text.into(),
        });
    }

    /// Stamps a message that is about to be sent.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// # let recorder = hitch_admin::Recorder::new("i-1", log, 1024);
    /// assert!(recorder.stamp() < recorder.stamp());
    /// ```
    pub fn stamp(&self) -> Stamp {
        lock(&self.section).clock.tick(wall_ms())
    }

    /// Takes over the stamp of a received message, so that later events here sort after those before it there.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// # let recorder = hitch_admin::Recorder::new("i-1", log, 1024);
    /// let remote = hitch_event::Stamp { wall_ms: u64::MAX / 2, logical: 3 };
    /// recorder.observe(remote);
    /// assert!(recorder.stamp() > remote);
    /// ```
    pub fn observe(&self, stamp: Stamp) {
        lock(&self.section).clock.observe(stamp, wall_ms());
    }

    /// Returns the events that the ring holds, oldest first.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// let recorder = hitch_admin::Recorder::new("i-1", log, 1024);
    /// assert_eq!(recorder.events().len(), 0);
    /// ```
    pub fn events(&self) -> Vec<Event> {
        lock(&self.section).ring.iter().cloned().collect()
    }
}
