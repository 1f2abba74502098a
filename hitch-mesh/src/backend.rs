//! Availability of the local backend server.
//!
//! The backend server sends reports about itself at intervals. Reports may be late or come from an earlier incarnation,
//! so they are ordered by the incarnation's start time and by sequence number. A node that has just started cannot tell
//! whether the backend server was already draining; it makes a health check before the first call.

use std::time::Duration;

/// A report of a backend server about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Identity of this incarnation of the backend server.
    pub id: Box<str>,
    /// Service that the backend server belongs to.
    pub service: Box<str>,
    /// Version of its software; empty if not stated.
    pub version: Box<str>,
    /// Address at which it accepts connections.
    pub address: Box<str>,
    /// Number of calls that it runs at once.
    pub slots: u32,
    /// Whether it is draining.
    pub draining: bool,
    /// Sequence number among the reports of this incarnation.
    pub sequence: u64,
    /// Start of this incarnation, in milliseconds since the Unix epoch; 0 if not stated.
    pub started_at_ms: u64,
    /// Time for which it will still be slow because it has just started.
    pub cold_remaining: Duration,
}

/// Whether the backend server accepts calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// No report has arrived yet.
    Unknown,
    /// It has reported that it is ready, but it may have started draining before the node started. A health check is
    /// pending.
    Unverified,
    /// It accepts calls.
    Accepting,
    /// It refuses connections.
    Down,
    /// It is draining or has deregistered.
    Draining,
}

/// Effect of a report or an observation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing changed.
    None,
    /// The availability, the version or the number of slots changed.
    Availability,
    /// The backend server has restarted: calls that ran on the earlier incarnation are lost.
    Restarted,
}

/// Availability of the local backend server, by its reports and by observations of the node.
#[derive(Debug, Clone)]
pub struct LocalBackend {
    availability: Availability,
    latest: Option<Report>,
    // Identity that deregistered last: a late report must not make it available again.
    deregistered_id: Option<Box<str>>,
}

impl Default for LocalBackend {
    fn default() -> LocalBackend {
        LocalBackend {
            availability: Availability::Unknown,
            latest: None,
            deregistered_id: None,
        }
    }
}

impl LocalBackend {
    /// Returns whether the backend server accepts calls.
    ///
    /// ```
    /// use hitch_mesh::backend::*;
    /// assert_eq!(LocalBackend::default().availability(), Availability::Unknown);
    /// ```
    pub fn availability(&self) -> Availability {
        self.availability
    }

    /// Returns the latest report.
    ///
    /// ```
    /// assert!(hitch_mesh::backend::LocalBackend::default().latest().is_none());
    /// ```
    pub fn latest(&self) -> Option<&Report> {
        self.latest.as_ref()
    }

    /// Records that the backend server `id` passed a health check before its first report to this process.
    ///
    /// It gets `slots` calls at once until its report states the actual number.
    ///
    /// ```
    /// use hitch_mesh::backend::*;
    /// let mut local_backend = LocalBackend::default();
    /// assert_eq!(local_backend.discovered("i-1", "ledger", 4), Change::Restarted);
    /// assert_eq!(local_backend.availability(), Availability::Accepting);
    /// ```
    pub fn discovered(&mut self, id: &str, service: &str, slots: u32) -> Change {
        if self.availability != Availability::Unknown || self.latest.is_some() {
            return Change::None;
        }
        self.latest = Some(Report {
            id: id.into(),
            service: service.into(),
            version: "".into(),
            address: "".into(),
            slots,
            draining: false,
            sequence: 0,
            started_at_ms: 0,
            cold_remaining: Duration::ZERO,
        });
        self.availability = Availability::Accepting;
        Change::Restarted
    }

    /// Handles a report and returns what it changed.
    ///
    /// ```
    /// use hitch_mesh::backend::*;
    /// let report = Report { id: "i-1".into(), service: "ledger".into(), version: "v1".into(), address: "10.0.0.1:80".into(),
    ///     slots: 13, draining: false, sequence: 1, started_at_ms: 5, cold_remaining: Default::default() };
    /// let mut local_backend = LocalBackend::default();
    /// local_backend.report(report);
    /// assert_eq!(local_backend.availability(), Availability::Unverified);
    /// ```
    pub fn report(&mut self, report: Report) -> Change {
        let mut restarted = false;
        if let Some(latest) = &self.latest {
            if report.started_at_ms < latest.started_at_ms {
                return Change::None;
            }
            // A backend server that was discovered by a health check has no start time yet.
            let same_start =
                report.started_at_ms == latest.started_at_ms || latest.started_at_ms == 0;
            let same_incarnation = report.id == latest.id && same_start;
            if same_incarnation && report.sequence <= latest.sequence {
                return Change::None;
            }
            restarted = !same_incarnation;
        }
        if self.deregistered_id.as_ref() == Some(&report.id) && !restarted {
            return Change::None;
        }
        // A backend server that was discovered by a health check has no version and no number of slots yet.
        let described = |report: &Report| (report.slots, report.version.clone());
        let has_changed = self.latest.as_ref().map(described) != Some(described(&report));
        let before = self.availability;
        self.availability = match (report.draining, restarted, before) {
            (true, _, _) => Availability::Draining,
            // This incarnation started after the node, so the node has seen all of its reports.
            (false, true, _) => Availability::Accepting,
            (false, false, Availability::Unknown) => Availability::Unverified,
            (false, false, Availability::Down) => Availability::Accepting,
            // A draining backend server does not become ready again: such a report was sent before the drain.
            (false, false, before) => before,
        };
        if restarted {
            self.deregistered_id = None;
        }
        self.latest = Some(report);
        match restarted {
            true => Change::Restarted,
            false if before != self.availability || has_changed => Change::Availability,
            false => Change::None,
        }
    }

    /// Records that the backend server `id` deregistered.
    ///
    /// ```
    /// use hitch_mesh::backend::*;
    /// let mut local_backend = LocalBackend::default();
    /// local_backend.deregistered("i-1");
    /// assert_eq!(local_backend.availability(), Availability::Draining);
    /// ```
    pub fn deregistered(&mut self, id: &str) -> Change {
        if self.latest.as_ref().is_some_and(|latest| &*latest.id != id) {
            return Change::None;
        }
        self.deregistered_id = Some(id.into());
        self.set_availability(Availability::Draining)
    }

    /// Handles the result of a health check: the identity of the backend server if it is healthy.
    ///
    /// ```
    /// use hitch_mesh::backend::*;
    /// let mut local_backend = LocalBackend::default();
    /// assert_eq!(local_backend.verified(Some("i-1")), Change::None);
    /// ```
    pub fn verified(&mut self, healthy: Option<&str>) -> Change {
        let (Availability::Unverified, Some(latest)) = (self.availability, &self.latest) else {
            return Change::None;
        };
        match healthy == Some(&*latest.id) {
            true => self.set_availability(Availability::Accepting),
            false => Change::None,
        }
    }

    /// Records that the backend server refused a connection. The next report makes it available again.
    ///
    /// ```
    /// use hitch_mesh::backend::*;
    /// assert_eq!(LocalBackend::default().connection_refused(), Change::None);
    /// ```
    pub fn connection_refused(&mut self) -> Change {
        match self.availability {
            Availability::Accepting => self.set_availability(Availability::Down),
            _ => Change::None,
        }
    }

    fn set_availability(&mut self, availability: Availability) -> Change {
        let before = std::mem::replace(&mut self.availability, availability);
        match before == availability {
            true => Change::None,
            false => Change::Availability,
        }
    }
}
