//! The backend server as its connections and in-process tests share it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

use crate::control::Control;
use crate::control::Faults;
use crate::ledger::Ledger;
use crate::next::Next;
use crate::settings::Settings;
use crate::state::Counters;
use crate::state::Load;
use crate::state::State;

/// A shared backend server; clones refer to the same one.
#[derive(Debug, Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    started: Instant,
    crashed: watch::Sender<u64>,
    next: Next,
}

impl Handle {
    /// Makes a backend server; [`crate::serve()`] serves it.
    ///
    /// ```
    /// use hitch_standin_backend::{Handle, Settings};
    ///
    /// assert_eq!(Handle::new(Settings::default()).running(), 0);
    /// ```
    pub fn new(settings: Settings) -> Handle {
        let shared = Shared {
            state: Mutex::new(State::new(settings)),
            started: Instant::now(),
            crashed: watch::Sender::new(0),
            next: Next::new(),
        };
        Handle {
            shared: Arc::new(shared),
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the handle was made.
    pub(crate) fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }

    pub(crate) fn next(&self) -> &Next {
        &self.shared.next
    }

    /// Subscribes to crashes.
    pub(crate) fn crashed(&self) -> watch::Receiver<u64> {
        self.shared.crashed.subscribe()
    }

    /// Crashes the backend server: it closes all connections, refuses new ones for the crash time
    /// and starts again cold. The ledger and the faults stay.
    ///
    /// ```
    /// use hitch_standin_backend::{Handle, Settings};
    ///
    /// let backend = Handle::new(Settings::default());
    /// backend.crash();
    /// assert_eq!(backend.counters().crashes, 1);
    /// ```
    pub fn crash(&self) {
        let generation = {
            let mut state = self.state();
            let now = self.now();
            state.crash(now);
            state.generation
        };
        self.shared.crashed.send_replace(generation);
    }

    /// Applies a change of the faults and returns the faults in force.
    ///
    /// ```
    /// use hitch_standin_backend::{Control, Handle, Settings};
    ///
    /// let backend = Handle::new(Settings::default());
    /// let faults = backend.control(&Control { draining: Some(true), ..Control::default() });
    /// assert!(faults.draining);
    /// ```
    pub fn control(&self, control: &Control) -> Faults {
        let faults = {
            let mut state = self.state();
            let now = self.now();
            state.control(now, control);
            state.faults.clone()
        };
        if control.crash == Some(true) {
            self.crash();
        }
        faults
    }

    /// Returns what was run.
    ///
    /// ```
    /// use hitch_standin_backend::{Handle, Settings};
    ///
    /// let backend = Handle::new(Settings::default());
    /// assert!(backend.ledger().keys.is_empty());
    /// ```
    pub fn ledger(&self) -> Ledger {
        self.state().ledger.clone()
    }

    /// Returns what happened so far.
    ///
    /// ```
    /// use hitch_standin_backend::{Handle, Settings};
    ///
    /// let backend = Handle::new(Settings::default());
    /// assert_eq!(backend.counters().shed, 0);
    /// ```
    pub fn counters(&self) -> Counters {
        self.state().counters.clone()
    }

    /// Returns the calls in progress.
    ///
    /// ```
    /// use hitch_standin_backend::{Handle, Settings};
    ///
    /// let backend = Handle::new(Settings::default());
    /// assert_eq!(backend.running(), 0);
    /// ```
    pub fn running(&self) -> u32 {
        self.state().running
    }

    /// Returns the load as `GET /load` reports it.
    ///
    /// ```
    /// use hitch_standin_backend::{Handle, Settings};
    ///
    /// let backend = Handle::new(Settings::default());
    /// assert_eq!(backend.load().slots, 13);
    /// ```
    pub fn load(&self) -> Load {
        let now = self.now();
        self.state().load(now)
    }
}
