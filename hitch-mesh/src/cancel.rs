//! The signal that ends a call early: its caller has left, or the process is about to exit.

use std::sync::OnceLock;
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use tokio_util::sync::WaitForCancellationFuture;

/// Cancellation of one call, with the time at which this node learned of it.
#[derive(Debug, Default)]
pub(crate) struct CancelSignal {
    token: CancellationToken,
    cancelled_at: OnceLock<Duration>,
}

impl CancelSignal {
    /// Cancels the call. Only the first cancellation counts.
    pub(crate) fn cancel(&self, now: Duration) {
        self.cancelled_at.get_or_init(|| now);
        self.token.cancel();
    }

    /// Returns when the call was cancelled, as time since the start of the process.
    pub(crate) fn cancelled_at(&self) -> Option<Duration> {
        self.cancelled_at.get().copied()
    }

    /// Resolves once the call is cancelled, also if that was before.
    pub(crate) fn cancelled(&self) -> WaitForCancellationFuture<'_> {
        self.token.cancelled()
    }
}
