//! Events of this process, in its ring and in its structured log.

use std::sync::Mutex;

use hitch_event::Clock;
use hitch_event::Event;
use hitch_event::Kind;
use hitch_event::Ring;
use hitch_event::Stamp;
use hitch_proto::peer;
use slog::Logger;

use crate::shards::lock;
use crate::time::wall_ms;

/// Events that the ring keeps.
const RING_EVENTS: usize = 8192;

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
    /// Makes a recorder for an instance that also writes to `log`.
    ///
    /// ```
    /// let log = slog::Logger::root(slog::Discard, slog::o!());
    /// let recorder = hitch_node::recorder::Recorder::new("i-1", log);
    /// assert!(recorder.events().is_empty());
    /// ```
    pub fn new(instance: &str, log: Logger) -> Recorder {
        let section = Section {
            clock: Clock::default(),
            ring: Ring::with_capacity(RING_EVENTS),
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
    /// # let recorder = hitch_node::recorder::Recorder::new("i-1", log);
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
    /// # let recorder = hitch_node::recorder::Recorder::new("i-1", log);
    /// recorder.record(hitch_event::Kind::Ready, Default::default(), "node: ready");
    /// assert_eq!(recorder.events().len(), 1);
    /// ```
    pub fn record(&self, kind: Kind, subject: Subject<'_>, text: impl Into<Box<str>>) {
        let text = text.into();
        if subject.call_id.is_empty() {
            slog::info!(self.log, "{}", text; "version" => subject.version);
        }
        let mut section = lock(&self.section);
        let stamp = section.clock.tick(wall_ms());
        section.ring.push(Event {
            stamp,
            instance: self.instance.clone(),
            kind,
            version: subject.version,
            call_id: subject.call_id.into(),
            text,
        });
    }

    /// Stamps a message that is about to be sent.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// # let recorder = hitch_node::recorder::Recorder::new("i-1", log);
    /// assert!(recorder.stamp().is_some());
    /// ```
    pub fn stamp(&self) -> Option<peer::Stamp> {
        let stamp = lock(&self.section).clock.tick(wall_ms());
        Some(peer::Stamp {
            wall_ms: stamp.wall_ms,
            logical: stamp.logical,
        })
    }

    /// Takes over the stamp of a received message.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// # let recorder = hitch_node::recorder::Recorder::new("i-1", log);
    /// recorder.observe(None);
    /// ```
    pub fn observe(&self, stamp: Option<peer::Stamp>) {
        let Some(stamp) = stamp else { return };
        let remote = Stamp {
            wall_ms: stamp.wall_ms,
            logical: stamp.logical,
        };
        lock(&self.section).clock.observe(remote, wall_ms());
    }

    /// Returns the events that the ring holds, oldest first.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// let recorder = hitch_node::recorder::Recorder::new("i-1", log);
    /// assert_eq!(recorder.events().len(), 0);
    /// ```
    pub fn events(&self) -> Vec<Event> {
        lock(&self.section).ring.iter().cloned().collect()
    }
}
