//! The switchover from one route table to the next.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::table::Table;

/// Maximum time that a new table waits for backend servers of its services.
pub const MAX_HOLD: Duration = Duration::from_secs(2);

/// Decides when a new route table comes into force.
///
/// A table comes into force at once if all its services have a backend server. Services that had none when
/// the table in force replaced its predecessor do not count, so that they do not delay every later version.
/// Otherwise the table in force remains until the backend servers are known or [`MAX_HOLD`] has passed.
/// Then the new table comes into force as a whole, with the routes to services without a backend server
/// inactive.
#[derive(Debug, Default)]
pub struct Switchover {
    pending: Option<PendingTable>,
    in_force: u64,
    /// Services of the table in force that had no backend server when it came into force.
    missing: BTreeSet<Box<str>>,
}

#[derive(Debug)]
struct PendingTable {
    since: Duration,
    table: Table,
}

impl Switchover {
    /// Offers the table of a newer version. A table that is not newer than the pending one, or else the one
    /// in force, is ignored.
    ///
    /// [`MAX_HOLD`] counts from the first pending table, so that a steady stream of versions does not
    /// extend it.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let mut switchover = hitch_route::Switchover::default();
    /// switchover.offer(Duration::ZERO, hitch_route::Table::default());
    /// assert!(switchover.poll(Duration::ZERO, |_| true).is_none());
    /// ```
    pub fn offer(&mut self, now: Duration, table: Table) {
        let newest = self
            .pending
            .as_ref()
            .map_or(self.in_force, |p| p.table.version());
        if table.version() <= newest {
            return;
        }
        let since = self.pending.as_ref().map_or(now, |p| p.since);
        self.pending = Some(PendingTable { since, table });
    }

    /// Returns whether a table is pending.
    ///
    /// ```
    /// assert!(!hitch_route::Switchover::default().is_waiting());
    /// ```
    pub fn is_waiting(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the table that comes into force now, if any. `has_backend` returns whether a service has a
    /// known backend server.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let mut switchover = hitch_route::Switchover::default();
    /// assert!(switchover.poll(Duration::ZERO, |_| true).is_none());
    /// ```
    pub fn poll(&mut self, now: Duration, has_backend: impl Fn(&str) -> bool) -> Option<Table> {
        let pending = self.pending.take()?;
        let is_satisfied = |service: &str| has_backend(service) || self.missing.contains(service);
        let complete = pending.table.services().all(is_satisfied);
        if !complete && now < pending.since + MAX_HOLD {
            self.pending = Some(pending);
            return None;
        }
        self.in_force = pending.table.version();
        let table = pending.table.with_services(has_backend);
        self.missing = table.inactive().map(Box::from).collect();
        Some(table)
    }
}
