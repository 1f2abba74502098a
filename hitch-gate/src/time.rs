//! Clocks of the process.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tokio::time::Instant;

/// Clock that counts the time since the start of the process.
///
/// It reads `CLOCK_BOOTTIME`: unlike [`Instant`], that clock also counts the time during which the machine
/// was suspended, so that a deadline that passed meanwhile is recognised as passed.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    /// Time since boot at which the clock started.
    start: Duration,
}

impl ProcessClock {
    /// Starts the clock at zero.
    ///
    /// ```
    /// let time = hitch_gate::time::ProcessClock::start();
    /// assert!(time.now() < std::time::Duration::from_secs(60));
    /// ```
    pub fn start() -> ProcessClock {
        ProcessClock {
            start: time_since_boot(),
        }
    }

    /// Returns the time since the start, including time during which the process was frozen or the machine
    /// suspended.
    ///
    /// ```
    /// let time = hitch_gate::time::ProcessClock::start();
    /// assert!(time.now() <= time.now());
    /// ```
    pub fn now(&self) -> Duration {
        time_since_boot().saturating_sub(self.start)
    }

    /// Converts an instant to the time since the start: its distance from now, as measured by the clock of
    /// [`Instant`], is added to or subtracted from [`ProcessClock::now`].
    ///
    /// ```
    /// let time = hitch_gate::time::ProcessClock::start();
    /// assert!(time.since_start(tokio::time::Instant::now()) <= time.now());
    /// ```
    pub fn since_start(&self, instant: Instant) -> Duration {
        let now = Instant::now();
        match instant.checked_duration_since(now) {
            Some(ahead) => self.now().saturating_add(ahead),
            None => self.now().saturating_sub(now - instant),
        }
    }
}

fn time_since_boot() -> Duration {
    let at = clock_gettime(ClockId::Boottime);
    Duration::new(at.tv_sec.unsigned_abs(), at.tv_nsec.unsigned_abs() as u32)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
///
/// ```
/// assert!(hitch_gate::time::wall_ms() > 0);
/// ```
pub fn wall_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
