//! Handle through which connections and in-process tests share a backend server.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

use crate::control::Control;
use crate::control::Faults;
use crate::downstream::DownstreamClient;
use crate::ledger::Ledger;
use crate::settings::Settings;
use crate::state::Counters;
use crate::state::Load;
use crate::state::State;

/// A handle to a simulated backend server; clones refer to the same one.
#[derive(Debug, Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    started: Instant,
    /// Generation that the last crash started.
    crashed: watch::Sender<u64>,
    downstream: DownstreamClient,
}

impl Handle {
    /// Creates a backend server; [`crate::serve()`] accepts its connections.
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
            downstream: DownstreamClient::new(),
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

    /// Returns the time since the backend server was created.
    pub(crate) fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Returns the client for downstream calls.
    pub(crate) fn downstream(&self) -> &DownstreamClient {
        &self.shared.downstream
    }

    /// Returns a receiver that is notified of every crash.
    pub(crate) fn subscribe_crashes(&self) -> watch::Receiver<u64> {
        self.shared.crashed.subscribe()
    }

    /// Simulates a crash: all connections are closed and new ones refused for
    /// [`Faults::crash_ms`], then the backend server restarts with a cold start. The ledger, the
    /// counters and the injected faults other than draining are kept.
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

    /// Applies an update of the injected faults and returns the faults after it.
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
            state.update_faults(now, control);
            state.faults.clone()
        };
        if control.crash == Some(true) {
            self.crash();
        }
        faults
    }

    /// Returns a copy of the ledger of runs.
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

    /// Returns a copy of the counters.
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

    /// Returns the number of calls in flight.
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
