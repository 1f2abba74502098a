//! What the node knows of the backend server beside it.
//!
//! The backend server reports itself at intervals. Reports may be late and come from an earlier start of it, so each is
//! placed by the time of that start and by its sequence. A node that has just started cannot tell whether the backend
//! server began to leave before: it asks once for its health before the first call.

/// A report of a backend server on itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Identity of this start of the backend server.
    pub id: Box<str>,
    /// Its service.
    pub service: Box<str>,
    /// Where it accepts connections.
    pub address: Box<str>,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it says that it is leaving.
    pub draining: bool,
    /// Position among the reports of this start.
    pub sequence: u64,
    /// Time of its start, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}

/// Whether the backend server takes calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// No report has come yet.
    Unknown,
    /// It has reported, and the node has yet to ask whether it began to leave before the node started.
    Unverified,
    /// It takes calls.
    Accepting,
    /// It does not accept connections.
    Down,
    /// It is leaving, or has left.
    Leaving,
}

/// What a report or an observation changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// The standing or the slots.
    Standing,
    /// The backend server has started anew: what ran on the earlier one is over.
    Restarted,
}

/// The backend server beside the node.
#[derive(Debug, Clone)]
pub struct Beside {
    standing: Standing,
    latest: Option<Report>,
    // Identities that were taken for gone; a late report must not bring one back.
    gone: Option<Box<str>>,
}

impl Default for Beside {
    fn default() -> Beside {
        Beside {
            standing: Standing::Unknown,
            latest: None,
            gone: None,
        }
    }
}

impl Beside {
    /// Returns whether the backend server takes calls.
    ///
    /// ```
    /// use hitch_mesh::backend::*;
    /// assert_eq!(Beside::default().standing(), Standing::Unknown);
    /// ```
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Returns the latest report.
    ///
    /// ```
    /// assert!(hitch_mesh::backend::Beside::default().latest().is_none());
    /// ```
    pub fn latest(&self) -> Option<&Report> {
        self.latest.as_ref()
    }

    /// Takes in that the healthy backend server `id` answers, before it has reported itself to this process.
    ///
    /// It runs `slots` calls at once until its report says how many it can.
    ///
    /// ```
    /// use hitch_mesh::backend::*;
    /// let mut beside = Beside::default();
    /// assert_eq!(beside.found("i-1", "ledger", 4), Change::Restarted);
    /// assert_eq!(beside.standing(), Standing::Accepting);
    /// ```
    pub fn found(&mut self, id: &str, service: &str, slots: u32) -> Change {
        if self.standing != Standing::Unknown || self.latest.is_some() {
            return Change::None;
        }
        self.latest = Some(Report {
            id: id.into(),
            service: service.into(),
            address: "".into(),
            slots,
            draining: false,
            sequence: 0,
            started_at_ms: 0,
        });
        self.standing = Standing::Accepting;
        Change::Restarted
    }

    /// Takes a report in.
    ///
    /// ```
    /// use hitch_mesh::backend::*;
    /// let report = Report { id: "i-1".into(), service: "ledger".into(), address: "10.0.0.1:80".into(), slots: 13,
    ///     draining: false, sequence: 1, started_at_ms: 5 };
    /// let mut beside = Beside::default();
    /// beside.report(report);
    /// assert_eq!(beside.standing(), Standing::Unverified);
    /// ```
    pub fn report(&mut self, report: Report) -> Change {
        let mut restarted = false;
        if let Some(latest) = &self.latest {
            if report.started_at_ms < latest.started_at_ms {
                return Change::None;
            }
            // What was found by its health has no time of its start yet.
            let same_start =
                report.started_at_ms == latest.started_at_ms || latest.started_at_ms == 0;
            let same = report.id == latest.id && same_start;
            if same && report.sequence <= latest.sequence {
                return Change::None;
            }
            restarted = !same;
        }
        if self.gone.as_ref() == Some(&report.id) && !restarted {
            return Change::None;
        }
        let slots_changed = self.latest.as_ref().map(|r| r.slots) != Some(report.slots);
        let before = self.standing;
        self.standing = match (report.draining, restarted, before) {
            (true, _, _) => Standing::Leaving,
            // The start that this report speaks of came after the node's own, so nothing of it was missed.
            (false, true, _) => Standing::Accepting,
            (false, false, Standing::Unknown) => Standing::Unverified,
            (false, false, Standing::Down) => Standing::Accepting,
            // A backend server that was leaving and reports that it is ready does so by a late report.
            (false, false, before) => before,
        };
        if restarted {
            self.gone = None;
        }
        self.latest = Some(report);
        match restarted {
            true => Change::Restarted,
            false if before != self.standing || slots_changed => Change::Standing,
            false => Change::None,
        }
    }

    /// Takes in that the backend server `id` leaves or has left.
    ///
    /// ```
    /// use hitch_mesh::backend::*;
    /// let mut beside = Beside::default();
    /// beside.left("i-1");
    /// assert_eq!(beside.standing(), Standing::Leaving);
    /// ```
    pub fn left(&mut self, id: &str) -> Change {
        if self.latest.as_ref().is_some_and(|latest| &*latest.id != id) {
            return Change::None;
        }
        self.gone = Some(id.into());
        self.become_standing(Standing::Leaving)
    }

    /// Takes in the answer of the backend server to the question for its health: its identity, if it is healthy.
    ///
    /// ```
    /// use hitch_mesh::backend::*;
    /// let mut beside = Beside::default();
    /// assert_eq!(beside.verified(Some("i-1")), Change::None);
    /// ```
    pub fn verified(&mut self, healthy: Option<&str>) -> Change {
        let (Standing::Unverified, Some(latest)) = (self.standing, &self.latest) else {
            return Change::None;
        };
        match healthy == Some(&*latest.id) {
            true => self.become_standing(Standing::Accepting),
            false => Change::None,
        }
    }

    /// Takes in that the backend server refuses connections.
    ///
    /// ```
    /// use hitch_mesh::backend::*;
    /// assert_eq!(Beside::default().refused(), Change::None);
    /// ```
    pub fn refused(&mut self) -> Change {
        match self.standing {
            Standing::Accepting => self.become_standing(Standing::Down),
            _ => Change::None,
        }
    }

    fn become_standing(&mut self, standing: Standing) -> Change {
        let before = std::mem::replace(&mut self.standing, standing);
        match before == standing {
            true => Change::None,
            false => Change::Standing,
        }
    }
}
