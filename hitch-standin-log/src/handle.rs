//! The store as the server and in-process tests share it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use tokio::sync::watch;

use crate::control::Control;
use crate::control::Faults;
use crate::settings::Settings;
use crate::store::Counters;
use crate::store::Store;
use crate::store::append;
use crate::store::read;

/// A shared store; clones refer to the same one.
#[derive(Debug, Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    store: Mutex<Store>,
    started: Instant,
    changed: watch::Sender<()>,
}

impl Handle {
    /// Makes a handle to an empty store.
    ///
    /// ```
    /// use hitch_standin_log::{Handle, Settings};
    ///
    /// let log = Handle::new(Settings::default());
    /// log.append_now("config", b"data"[..].into()).unwrap();
    /// assert_eq!(log.counters().total.appends, 1);
    /// ```
    pub fn new(settings: Settings) -> Handle {
        let shared = Shared {
            store: Mutex::new(Store::new(settings)),
            started: Instant::now(),
            changed: watch::Sender::new(()),
        };
        Handle {
            shared: Arc::new(shared),
        }
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        // The store has no state that a panic could leave half changed for its readers.
        self.shared
            .store
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a record at once, without the append delay.
    ///
    /// ```
    /// use hitch_standin_log::{Handle, Settings};
    ///
    /// let log = Handle::new(Settings::default());
    /// assert_eq!(log.append_now("config", b"data"[..].into()).unwrap().offset, 0);
    /// ```
    pub fn append_now(&self, stream: &str, data: Bytes) -> Result<append::Outcome, append::Error> {
        let now = self.shared.started.elapsed();
        let outcome = self.store().append(now, wall_clock_ms(), stream, data);
        self.shared.changed.send_replace(());
        outcome
    }

    /// Appends a record after the append delay. Once called, the append goes on when the future is
    /// dropped, as it does at a server whose caller has left.
    ///
    /// ```
    /// # use hitch_standin_log::{Handle, Settings};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// let log = Handle::new(Settings::default());
    /// let appended = log.append("config", b"data"[..].into()).await.unwrap();
    /// assert_eq!(appended.offset, 0);
    /// # }
    /// ```
    pub async fn append(
        &self,
        stream: &str,
        data: Bytes,
    ) -> Result<append::Outcome, append::Error> {
        let delay = Duration::from_millis(self.store().faults().append_delay_ms);
        if delay.is_zero() {
            return self.append_now(stream, data);
        }
        let handle = self.clone();
        let stream: Box<str> = stream.into();
        let task = tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            handle.append_now(&stream, data)
        });
        // The task ends early only when the runtime stops.
        task.await.unwrap_or(Err(append::Error::Outage))
    }

    /// Reads records; at the end of the stream it waits for up to `wait` for one.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_standin_log::{Handle, Settings};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// let log = Handle::new(Settings::default());
    /// let page = log.read("config", 0, 10, Duration::from_millis(1)).await.unwrap();
    /// assert!(page.records.is_empty());
    /// # }
    /// ```
    pub async fn read(
        &self,
        stream: &str,
        from: u64,
        max: usize,
        wait: Duration,
    ) -> Result<read::Outcome, read::Error> {
        let (delay, max_wait) = {
            let store = self.store();
            let delay = Duration::from_millis(store.faults().read_delay_ms);
            (delay, Duration::from_millis(store.settings().max_wait_ms))
        };
        tokio::time::sleep(delay).await;
        let deadline = tokio::time::Instant::now() + wait.min(max_wait);
        let mut changed = self.shared.changed.subscribe();
        loop {
            changed.mark_unchanged();
            let outcome = self.store().read(stream, from, max)?;
            // A reader beyond the end is answered at once, because the log has lost records.
            let at_end = outcome.records.is_empty() && outcome.next == from;
            if !at_end {
                self.store().count_read(stream, &outcome);
                return Ok(outcome);
            }
            let woken = tokio::time::timeout_at(deadline, changed.changed()).await;
            if woken.is_err() {
                self.store().count_read(stream, &outcome);
                return Ok(outcome);
            }
        }
    }

    /// Applies a change of the faults and returns the faults in force.
    ///
    /// ```
    /// use hitch_standin_log::{Control, Handle, Settings};
    ///
    /// let log = Handle::new(Settings::default());
    /// let faults = log.control(&Control { outage: Some(true), ..Control::default() });
    /// assert!(faults.outage);
    /// ```
    pub fn control(&self, control: &Control) -> Faults {
        let faults = {
            let mut store = self.store();
            store.control(control);
            store.faults().clone()
        };
        self.shared.changed.send_replace(());
        faults
    }

    /// Returns the faults in force.
    ///
    /// ```
    /// use hitch_standin_log::{Handle, Settings};
    ///
    /// let log = Handle::new(Settings::default());
    /// assert_eq!(log.faults().lose_answers, 0);
    /// ```
    pub fn faults(&self) -> Faults {
        self.store().faults().clone()
    }

    /// Returns what happened so far.
    ///
    /// ```
    /// use hitch_standin_log::{Handle, Settings};
    ///
    /// let log = Handle::new(Settings::default());
    /// assert_eq!(log.counters().total.reads, 0);
    /// ```
    pub fn counters(&self) -> Counters {
        self.store().counters()
    }

    /// Returns the largest record, in bytes.
    pub(crate) fn max_record_bytes(&self) -> usize {
        self.store().settings().max_record_bytes
    }
}

fn wall_clock_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
