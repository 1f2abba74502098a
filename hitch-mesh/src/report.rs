//! Rate-limited structured log.
//!
//! Lines of a kind that exceed the rate are suppressed and counted; the next line of the kind states their number. The
//! slog drain must not block, so that a log reader which stalls delays no request.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use hitch_admin::Recorder;
use hitch_admin::recorder::Subject;
use hitch_event::Kind;
use hitch_gate::shards::lock;
use slog::Logger;

/// Window in which lines of a kind are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Most lines of one kind in a window. At 20 lines of 300 bytes a second the log stays under 6 KB/s for each kind.
const LINES_PER_WINDOW: u32 = 20;
/// Events kept for operators, about 200 KB.
const EVENT_RING_CAPACITY: usize = 1_024;

/// Logger and event recorder of a node, with a rate limit for each kind of line.
#[derive(Debug)]
pub struct Reporter {
    recorder: Recorder,
    rates: Mutex<BTreeMap<&'static str, Rate>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    window_start: Duration,
    lines: u32,
    suppressed: u64,
}

impl Reporter {
    /// Creates a reporter for an instance that writes to `log`.
    ///
    /// ```
    /// let log = slog::Logger::root(slog::Discard, slog::o!());
    /// let reporter = hitch_mesh::report::Reporter::new("i-1", log);
    /// assert_eq!(reporter.try_write("refused", Default::default()), Some(0));
    /// ```
    pub fn new(instance: &str, log: Logger) -> Reporter {
        Reporter {
            recorder: Recorder::new(instance, log, EVENT_RING_CAPACITY),
            rates: Mutex::new(BTreeMap::new()),
        }
    }

    /// Returns the logger. The rate limit applies only to lines for which the caller asks [`Reporter::try_write`].
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// # let reporter = hitch_mesh::report::Reporter::new("i-1", log);
    /// slog::info!(reporter.log(), "node: started");
    /// ```
    pub fn log(&self) -> &Logger {
        self.recorder.log()
    }

    /// Returns the recorder of the events that operators can query.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// # let reporter = hitch_mesh::report::Reporter::new("i-1", log);
    /// assert!(reporter.recorder().events().is_empty());
    /// ```
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Records the outcome of a call as an event.
    pub(crate) fn record_call(&self, kind: Kind, call_id: &str, version: u64, text: String) {
        self.recorder
            .record_unlogged(kind, Subject { version, call_id }, text);
    }

    /// Counts a line of the kind against its rate limit. Returns the number of lines suppressed before it, or `None` if
    /// this line must be suppressed too.
    ///
    /// ```
    /// # let log = slog::Logger::root(slog::Discard, slog::o!());
    /// # let reporter = hitch_mesh::report::Reporter::new("i-1", log);
    /// let written = (0..100).filter(|_| reporter.try_write("refused", Default::default()).is_some());
    /// assert_eq!(written.count(), 20);
    /// ```
    pub fn try_write(&self, kind: &'static str, now: Duration) -> Option<u64> {
        let mut rates = lock(&self.rates);
        let rate = rates.entry(kind).or_default();
        if now >= rate.window_start + WINDOW {
            rate.window_start = now;
            rate.lines = 0;
        }
        if rate.lines >= LINES_PER_WINDOW {
            rate.suppressed += 1;
            return None;
        }
        rate.lines += 1;
        Some(std::mem::take(&mut rate.suppressed))
    }
}
