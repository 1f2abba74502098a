//! The switch from one table to the next.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::table::Table;

/// How long a new table waits for backend servers of its services.
pub const HOLD: Duration = Duration::from_secs(2);

/// Decides when a new table comes into force.
///
/// A table whose services all have a backend server comes into force at once; a service that had none
/// in the table before does not count, so that it does not hold every later version. Otherwise the one in
/// force stays whole until the backend servers are known or [`HOLD`] has passed; then the new table
/// comes into force whole, with the routes to missing services inactive.
#[derive(Debug, Default)]
pub struct Switchover {
    held: Option<Held>,
    in_force: u64,
    /// Services of the table in force that had no backend server when it came into force.
    missing: BTreeSet<Box<str>>,
}

#[derive(Debug)]
struct Held {
    since: Duration,
    table: Table,
}

impl Switchover {
    /// Offers the table of a newer version. An older one is ignored.
    ///
    /// The hold counts from the first table that waits, so that a steady stream of versions does not
    /// extend it.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let mut switch = hitch_route::Switchover::default();
    /// switch.offer(Duration::ZERO, hitch_route::Table::default());
    /// assert!(switch.poll(Duration::ZERO, |_| true).is_none());
    /// ```
    pub fn offer(&mut self, now: Duration, table: Table) {
        let newest = self
            .held
            .as_ref()
            .map_or(self.in_force, |h| h.table.version());
        if table.version() <= newest {
            return;
        }
        let since = self.held.as_ref().map_or(now, |h| h.since);
        self.held = Some(Held { since, table });
    }

    /// Returns whether a table waits.
    ///
    /// ```
    /// assert!(!hitch_route::Switchover::default().is_waiting());
    /// ```
    pub fn is_waiting(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the table that comes into force now, if there is one.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let mut switch = hitch_route::Switchover::default();
    /// assert!(switch.poll(Duration::ZERO, |_| true).is_none());
    /// ```
    pub fn poll(&mut self, now: Duration, has_backend: impl Fn(&str) -> bool) -> Option<Table> {
        let held = self.held.take()?;
        let known = |service: &str| has_backend(service) || self.missing.contains(service);
        let complete = held.table.services().all(known);
        if !complete && now < held.since + HOLD {
            self.held = Some(held);
            return None;
        }
        self.in_force = held.table.version();
        let table = held.table.with_services(has_backend);
        self.missing = table.inactive().map(Box::from).collect();
        Some(table)
    }
}
