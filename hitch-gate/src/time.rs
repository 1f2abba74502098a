//! The clocks of the process.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tokio::time::Instant;

/// The start of the process, from which time is counted.
///
/// The clock is `CLOCK_BOOTTIME`: unlike [`Instant`], it counts the time during which the machine was suspended, so
/// that a deadline that passed meanwhile is seen to have passed.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: Duration,
}

impl ProcessClock {
    /// Starts counting now.
    ///
    /// ```
    /// let time = hitch_gate::time::ProcessClock::start();
    /// assert!(time.now() < std::time::Duration::from_secs(60));
    /// ```
    pub fn start() -> ProcessClock {
        ProcessClock { start: boot_time() }
    }

    /// Returns the time since the start. It goes on while the process is frozen or the machine suspended.
    ///
    /// ```
    /// let time = hitch_gate::time::ProcessClock::start();
    /// assert!(time.now() <= time.now());
    /// ```
    pub fn now(&self) -> Duration {
        boot_time().saturating_sub(self.start)
    }

    /// Converts an instant to the time since the start, as far from now as it is on its own clock.
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

fn boot_time() -> Duration {
    let at = clock_gettime(ClockId::Boottime);
    Duration::new(at.tv_sec.unsigned_abs(), at.tv_nsec.unsigned_abs() as u32)
}

/// Returns the wall clock in milliseconds since the Unix epoch.
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
