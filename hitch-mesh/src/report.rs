//! The structured log, bounded under load.
//!
//! A kind of line that comes too often is left out and counted; the next line of the kind names the number. The drain
//! behind the logger must not block: a reader that does not read costs no request.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use hitch_admin::Recorder;
use hitch_admin::recorder::Subject;
use hitch_event::Kind;
use hitch_gate::shards::lock;
use slog::Logger;

/// Length of the windows in which lines of a kind are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Lines of one kind in a window. At 20 a second of 300 bytes the log stays under 6 KB/s a kind.
const LINES_PER_WINDOW: u32 = 20;
/// Events that the node keeps for operators, about 200 KB of them.
const RING_EVENTS: usize = 1_024;

/// Writes lines, and leaves out what comes too often.
#[derive(Debug)]
pub struct Reporter {
    recorder: Recorder,
    kinds: Mutex<BTreeMap<&'static str, Count>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    window: Duration,
    lines: u32,
    left_out: u64,
}

impl Reporter {
    /// Makes a reporter for an instance that writes to `log`.
    ///
    /// ```
    /// let log = slog::Logger::root(slog::Discard, slog::o!());
    /// let reporter = hitch_mesh::report::Reporter::new("i-1", log);
    /// assert_eq!(reporter.admit("refused", Default::default()), Some(0));
    /// ```
    pub fn new(instance: &str, log: Logger) -> Reporter {
        Reporter {
            recorder: Recorder::new(instance, log, RING_EVENTS),
            kinds: Mutex::new(BTreeMap::new()),
        }
    }

    /// Returns the logger.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// # let reporter = hitch_mesh::report::Reporter::new("i-1", log);
    /// slog::info!(reporter.log(), "node: started");
    /// ```
    pub fn log(&self) -> &Logger {
        self.recorder.log()
    }

    /// Returns the events that operators can ask for.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// # let reporter = hitch_mesh::report::Reporter::new("i-1", log);
    /// assert!(reporter.recorder().events().is_empty());
    /// ```
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Records what a call came to, beside its line in the log.
    pub(crate) fn call(&self, kind: Kind, call_id: &str, version: u64, text: String) {
        self.recorder
            .record_unlogged(kind, Subject { version, call_id }, text);
    }

    /// Returns how many lines of the kind were left out before this one, or nothing when this one is left out too.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// # let reporter = hitch_mesh::report::Reporter::new("i-1", log);
    /// let written = (0..100).filter(|_| reporter.admit("refused", Default::default()).is_some());
    /// assert_eq!(written.count(), 20);
    /// ```
    pub fn admit(&self, kind: &'static str, now: Duration) -> Option<u64> {
        let mut kinds = lock(&self.kinds);
        let count = kinds.entry(kind).or_default();
        if now >= count.window + WINDOW {
            count.window = now;
            count.lines = 0;
        }
        if count.lines >= LINES_PER_WINDOW {
            count.left_out += 1;
            return None;
        }
        count.lines += 1;
        Some(std::mem::take(&mut count.left_out))
    }
}
