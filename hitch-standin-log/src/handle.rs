//! Handle through which the server and in-process tests share a store.

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

/// A handle to a store; clones refer to the same one.
#[derive(Debug, Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    store: Mutex<Store>,
    started: Instant,
    /// Notifies waiting reads of appends and of changed faults.
    changed: watch::Sender<()>,
}

impl Handle {
    /// Creates an empty store.
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
        // A poisoned lock is safe to use: a panic leaves no partial update that readers could see.
        self.shared
            .store
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a record immediately, without the injected delay.
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

    /// Appends a record after the injected delay. Once the future has been polled, the record is
    /// appended even if the future is dropped, as happens when the caller disconnects.
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
        // The task is cancelled only when the runtime shuts down.
        task.await.unwrap_or(Err(append::Error::Outage))
    }

    /// Reads records; at the end of the stream it waits for a record, at most for `wait`.
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
            // A read from beyond the end is answered immediately: the log has lost records that the
            // reader has already received.
            let at_end = outcome.records.is_empty() && outcome.next == from;
            if !at_end {
                self.store().count_read(stream, &outcome);
                return Ok(outcome);
            }
            let notified = tokio::time::timeout_at(deadline, changed.changed()).await;
            if notified.is_err() {
                self.store().count_read(stream, &outcome);
                return Ok(outcome);
            }
        }
    }

    /// Applies an update of the injected faults and returns the faults after it.
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

    /// Returns a copy of the injected faults.
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

    /// Returns the counters.
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

    /// Returns the maximum size of a record, in bytes.
    pub(crate) fn max_record_bytes(&self) -> usize {
        self.store().settings().max_record_bytes
    }
}

/// Returns the time since the Unix epoch, in milliseconds.
fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_millis() as u64
}
